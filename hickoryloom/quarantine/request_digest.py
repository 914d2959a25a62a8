"""Digest by which all instances recognize a request that its caller sends again.

It performs no I/O.
"""

from __future__ import annotations

from base64 import urlsafe_b64encode
from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["digest_request", "is_request_key", "request_key"]

DIGEST_BYTES = 6
"""Two of a million different requests have the same digest with a probability of 1 in 500."""


MARK = "="
"""First character of what follows the service in the key of a request; no part begins with it."""


def request_key(service: str, digest: str) -> str:
    """Return the key under which a request is held back."""
    return f"{service}/{MARK}{digest}"


def is_request_key(key: str) -> bool:
    """Return whether a key names a request, not a part of prompts."""
    return key.partition("/")[2].startswith(MARK)


def digest_request(
    service: str, method: str, target: str, caller: str, body: bytes, part_ids: Iterable[str] = ()
) -> str:
    """Return the digest of a request, 8 characters of which none is `/`, `=` or a space.

    Args:
        service: Service to which it is sent.
        method: HTTP method.
        target: Path and query.
        caller: Name of the customer, or another name of the caller; empty if it is unknown.
        body: The complete body.
        part_ids: Ids of all parts of its prompt, which may not be in the body.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for value in (service, method, target, caller, *part_ids):
        digest.update(value.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(b"\0")
    digest.update(body)
    return urlsafe_b64encode(digest.digest()).decode()
