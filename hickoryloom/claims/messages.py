"""Data types of claims: which attempt may run a call, and the outcome of the call."""

from __future__ import annotations

import enum

import attrs

__all__ = ["Claim", "ClaimRecord", "ClaimState", "StoredResponse"]


class ClaimState(enum.Enum):
    """Progress of the claimed call."""

    CLAIMED = "claimed"
    SENT = "sent"
    DONE = "done"
    LOST = "lost"


@attrs.frozen
class StoredResponse:
    """Response to a call, stored for replay to repeats of it.

    Attributes:
        status: HTTP status.
        headers: Pairs of lower-case name and value, in order.
        body: Complete body; empty if it was too large to store.
        kept: Whether the body was stored.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kept: bool = True


@attrs.frozen
class ClaimRecord:
    """A claim as stored in the platform.

    Attributes:
        state: Progress of the call.
        attempt: Unique id of the attempt that holds the claim.
        owner: Incarnation of the entry that made the attempt.
        call_digest: Digest of the call, to detect an idempotency key reused for another call.
        changed: Wall time of the last change, in seconds. It only affects when a repeat may
            take over or which retry advice it gets, never whether a sent call runs again.
        epoch: Number of the epoch of the last change, which decides when the claim expires.
        answer: The stored response, in state `DONE`.
    """

    state: ClaimState
    attempt: str
    owner: str
    call_digest: str
    changed: float
    epoch: int
    answer: StoredResponse | None = None


@attrs.frozen
class Claim:
    """A claim held by this process.

    Attributes:
        key: Key of its object.
        version: Last version of its object seen by this process.
        record: Contents of the object in that version.
        send_deadline: Monotonic time of this process, in seconds, after which the call must not
            be sent, since other processes may soon treat the claim as expired.
    """

    key: str
    version: int
    record: ClaimRecord
    send_deadline: float

    def may_send(self, now: float) -> bool:
        """Return whether the first byte may be sent at monotonic time `now`.

        Call it immediately before the write, without a yield in between: a process that was
        suspended for longer than claims are retained must not send.
        """
        return self.record.state is ClaimState.SENT and now < self.send_deadline
