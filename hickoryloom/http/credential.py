"""The token that processes show to each other and to backend servers."""

from __future__ import annotations

import hmac

__all__ = ["bearer_headers", "shows_token"]


def bearer_headers(token: str) -> dict[str, str]:
    """Return the headers that show `token`; none for an empty one."""
    return {"Authorization": f"Bearer {token}"} if token else {}


def shows_token(authorization: str | None, token: str) -> bool:
    """Return whether a header `Authorization` shows `token`, in constant time.

    An empty token asks for nothing.
    """
    if not token:
        return True
    return hmac.compare_digest((authorization or "").encode(), f"Bearer {token}".encode())
