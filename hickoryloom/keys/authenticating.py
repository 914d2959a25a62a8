"""Authenticates a call by the key that it presents."""

from __future__ import annotations

import base64
import binascii

from result import Err, Ok, Result

from hickoryloom.configuration import Snapshot
from hickoryloom.http import Call
from hickoryloom.keys.key_format import hash_key, is_key
from hickoryloom.keys.messages import Identity, Unauthenticated, UnauthenticatedReason

__all__ = ["CREDENTIAL_HEADERS", "authenticate", "presented_keys"]

KEY_HEADERS = ("x-api-key", "api-key")
CREDENTIAL_HEADERS = frozenset(
    (*KEY_HEADERS, "authorization", "proxy-authorization", "x-auth-token", "x-access-token")
)
STATUS_UNAUTHORIZED = 401
STATUS_UNSUPPORTED_MEDIA_TYPE = 415


def authenticate(call: Call, snapshot: Snapshot) -> Result[Identity, Unauthenticated]:
    """Authenticate a call by its key.

    The key is read from `Authorization` (Bearer, or Basic as user or password), `X-Api-Key` and
    `Api-Key`. A call with several different keys is rejected.

    Args:
        call: The call as received.
        snapshot: The configuration in force.

    Returns:
        The identity that the call runs for, or the reason for the rejection.
    """
    if not _has_unencoded_body(call):
        detail = "send the body without Content-Encoding"
        return _reject(UnauthenticatedReason.ENCODED_BODY, detail, STATUS_UNSUPPORTED_MEDIA_TYPE)
    credentials = set(_presented_credentials(call))
    if not credentials:
        detail = "send your key as 'Authorization: Bearer KEY'"
        return _reject(UnauthenticatedReason.MISSING, detail)
    keys = {text for text in credentials if is_key(text)}
    if len(keys) > 1:
        return _reject(UnauthenticatedReason.AMBIGUOUS, "send one key, not several")
    if not keys:
        return _reject(UnauthenticatedReason.MALFORMED, "this is not the form of a key")
    return _look_up(keys.pop(), snapshot)


def presented_keys(call: Call) -> tuple[str, ...]:
    """Return the keys in the headers that are used for authentication."""
    return tuple({text for text in _presented_credentials(call) if is_key(text)})


def _look_up(key: str, snapshot: Snapshot) -> Result[Identity, Unauthenticated]:
    record = snapshot.keys.get(hash_key(key))
    customer = snapshot.customers.get(record.customer) if record else None
    if record is None or customer is None:
        return _reject(UnauthenticatedReason.UNKNOWN, "this key is not in force")
    return Ok(Identity(record.hash, customer, record.request_class or customer.classes[0]))


def _reject(
    reason: UnauthenticatedReason, detail: str, status: int = STATUS_UNAUTHORIZED
) -> Result[Identity, Unauthenticated]:
    return Err(Unauthenticated(reason, status, detail))


def _has_unencoded_body(call: Call) -> bool:
    encodings = [value for name, value in call.headers if name == "content-encoding"]
    return all(value.strip().lower() in ("", "identity") for value in encodings)


def _presented_credentials(call: Call) -> list[str]:
    credentials: list[str] = []
    for name, value in call.headers:
        if name in KEY_HEADERS:
            credentials.append(value.strip())
        elif name == "authorization":
            credentials.extend(_parse_authorization(value.strip()))
    return [text for text in credentials if text]


def _parse_authorization(value: str) -> list[str]:
    scheme, _, rest = value.partition(" ")
    if scheme.lower() == "basic":
        return _parse_basic(rest.strip())
    return [rest.strip() if scheme.lower() == "bearer" else value]


def _parse_basic(encoded: str) -> list[str]:
    try:
        user, _, password = base64.b64decode(encoded, validate=True).decode().partition(":")
    except (binascii.Error, ValueError):
        return [encoded]
    keys = [text for text in (user, password) if is_key(text)]
    return keys or [password or user]
