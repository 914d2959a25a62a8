"""Messages of claims: who may run a call that must run at most once, and what came of it."""

from __future__ import annotations

import enum

import attrs

__all__ = ["Claim", "ClaimRecord", "ClaimState", "StoredAnswer"]


class ClaimState(enum.Enum):
    """How far the claimed call has come."""

    CLAIMED = "claimed"
    SENT = "sent"
    DONE = "done"
    LOST = "lost"


@attrs.frozen
class StoredAnswer:
    """The outcome of a call, kept for repeats of it.

    Attributes:
        status: HTTP status.
        headers: Names in lower case with their values, in order.
        body: Whole body; empty when it was too large to keep.
        kept: Whether the body was kept.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kept: bool = True


@attrs.frozen
class ClaimRecord:
    """A claim as it stands in the platform's objects.

    Attributes:
        state: How far the call has come.
        attempt: Unique name of the attempt that holds the claim.
        owner: Incarnation of the entry that makes the attempt.
        call_digest: Digest of the call, so that a key can't be used for another one.
        changed: Wall time of the last change, in seconds; only advice on when to come back
            hangs on it.
        epoch: Number of the epoch of the last change, which decides when the claim expires.
        answer: The outcome, in state `DONE`.
    """

    state: ClaimState
    attempt: str
    owner: str
    call_digest: str
    changed: float
    epoch: int
    answer: StoredAnswer | None = None


@attrs.frozen
class Claim:
    """A claim held by this process.

    Attributes:
        key: Key of its object.
        version: Version of its object that this process has seen last.
        record: Its record in that version.
        send_until: Monotonic time of this process, in seconds, after which the call must not
            be sent, since others may soon take the claim for expired.
    """

    key: str
    version: int
    record: ClaimRecord
    send_until: float

    def may_send(self, now: float) -> bool:
        """Return whether the first byte may be sent at monotonic time `now`.

        To be asked right before the write, with no yield between: a process that was frozen for
        longer than claims are kept must not send.
        """
        return self.record.state is ClaimState.SENT and now < self.send_until
