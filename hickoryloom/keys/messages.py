"""Messages of authentication."""

from __future__ import annotations

import enum

import attrs

from hickoryloom.configuration import Customer

__all__ = ["Identity", "Unauthenticated", "UnauthenticatedReason", "anonymous"]

KEY_ID_CHARS = 12
ANONYMOUS_CUSTOMER = Customer(name="", classes=())


@attrs.frozen
class Identity:
    """Who a call runs for, for its whole life.

    Attributes:
        key_hash: Hash of the key that came with it; empty on a route open to all.
        customer: The customer.
        default_class: Class used when the caller names none; empty on a route open to all.
    """

    key_hash: str
    customer: Customer
    default_class: str

    @property
    def is_anonymous(self) -> bool:
        """Whether the call came without a key, on a route open to all."""
        return not self.key_hash

    @property
    def key_id(self) -> str:
        """A short form of the hash, fit for logs."""
        return self.key_hash[:KEY_ID_CHARS]


class UnauthenticatedReason(enum.Enum):
    """Why a call could not be bound to a customer."""

    MISSING = "missing-key"
    MALFORMED = "malformed-key"
    UNKNOWN = "unknown-key"
    AMBIGUOUS = "several-keys"
    ENCODED_BODY = "encoded-body"


@attrs.frozen
class Unauthenticated:
    """A call that can't be bound to a customer.

    Attributes:
        reason: Why.
        status: HTTP status for the caller.
        detail: A sentence for the caller, without any part of a key.
    """

    reason: UnauthenticatedReason
    status: int
    detail: str


def anonymous() -> Identity:
    """Return the identity of a call on a route open to all."""
    return Identity("", ANONYMOUS_CUSTOMER, "")
