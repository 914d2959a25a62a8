"""Bearer tokens that authenticate processes to each other and to backend servers."""

from __future__ import annotations

import hmac

__all__ = ["bearer_headers", "has_bearer_token"]


def bearer_headers(token: str) -> dict[str, str]:
    """Return the headers that present `token`, or none if it is empty."""
    return {"Authorization": f"Bearer {token}"} if token else {}


def has_bearer_token(authorization: str | None, token: str) -> bool:
    """Return whether an `Authorization` header presents `token`, compared in constant time.

    If the token is empty, no authentication is required.
    """
    if not token:
        return True
    return hmac.compare_digest((authorization or "").encode(), f"Bearer {token}".encode())
