"""Results of authentication."""

from __future__ import annotations

import enum

import attrs

from hickoryloom.configuration import Customer

__all__ = ["Identity", "Unauthenticated", "UnauthenticatedReason", "anonymous"]

KEY_ID_CHARS = 12
ANONYMOUS_CUSTOMER = Customer(name="", classes=())


@attrs.frozen
class Identity:
    """The identity that a call runs for, fixed for its duration.

    Attributes:
        key_hash: Hash of the key that the call presented; empty on a public route.
        customer: The customer that owns the key.
        default_class: Request class if the caller names none; empty on a public route.
    """

    key_hash: str
    customer: Customer
    default_class: str

    @property
    def is_anonymous(self) -> bool:
        """Whether the call runs without a key, on a public route."""
        return not self.key_hash

    @property
    def key_id(self) -> str:
        """A prefix of the key hash that is short enough for logs."""
        return self.key_hash[:KEY_ID_CHARS]


class UnauthenticatedReason(enum.Enum):
    """Why a call could not be authenticated."""

    MISSING = "missing-key"
    MALFORMED = "malformed-key"
    UNKNOWN = "unknown-key"
    AMBIGUOUS = "several-keys"
    ENCODED_BODY = "encoded-body"


@attrs.frozen
class Unauthenticated:
    """A failed authentication.

    Attributes:
        reason: Cause of the failure.
        status: HTTP status to return to the caller.
        detail: Message for the caller, which contains no part of a key.
    """

    reason: UnauthenticatedReason
    status: int
    detail: str


def anonymous() -> Identity:
    """Return the identity of a call without a key, on a public route."""
    return Identity("", ANONYMOUS_CUSTOMER, "")
