"""What happened in one run of the driver."""

from __future__ import annotations

import attrs

from hickoryloom.admission import Admitted, RefusalReason, Refused, Request
from hickoryloom.bench.experiment import Experiment
from hickoryloom.bench.workload import Arrival

__all__ = ["Journal", "Try"]

ORDERED_REASONS = (
    RefusalReason.OVERLOAD,
    RefusalReason.EXPECTED_LATE,
    RefusalReason.NO_BACKEND,
)


@attrs.define(eq=False)
class Try:
    """One try of one caller.

    Attributes:
        arrival: The caller's request.
        request: What admission was asked.
        number: 0 for the first try.
        delivered: Tokens that the caller has.
        first_token_at: Time of the first token.
        ended_at: Time of the end.
        whole: Whether the whole answer was delivered.
        refusal: Why it was refused; None when it was not.
        started_at: Time of its start.
        reserved: Whether it started in its class's reserve.
        cheap_tokens: Tokens generated on reclaimable backend servers.
        continued: Whether it goes on with an answer that was preempted.
    """

    arrival: Arrival
    request: Request
    number: int
    delivered: int = 0
    first_token_at: float | None = None
    ended_at: float | None = None
    whole: bool = False
    refusal: RefusalReason | None = None
    started_at: float | None = None
    reserved: bool = False
    cheap_tokens: int = 0
    continued: bool = False

    @property
    def met(self) -> bool:
        """Whether it met its class's targets."""
        if not self.whole or self.first_token_at is None or self.ended_at is None:
            return False
        found = self.arrival.request_class
        first_s = self.first_token_at - self.request.arrived
        whole_s = self.ended_at - self.request.arrived
        in_time = first_s <= found.first_token_ms / 1000
        return in_time and (not found.answer_ms or whole_s <= found.answer_ms / 1000)


@attrs.define
class Journal:
    """Records of one run.

    Attributes:
        experiment: What was run.
        tries: All tries in order of arrival.
        generated: Tokens that engines generated.
        messages: Messages between entries.
        lost: Times at which backend servers were lost, by id.
        preemptions: Requests that were preempted.
    """

    experiment: Experiment
    tries: list[Try] = attrs.field(factory=list)
    generated: int = 0
    messages: int = 0
    preemptions: int = 0
    lost: dict[str, float] = attrs.field(factory=dict)
    _paused: dict[int, Try] = attrs.field(factory=dict)

    def begin(self, arrival: Arrival, request: Request, number: int, begun: int) -> Try:
        """Record a try, or the next part of one that was preempted."""
        paused = self._paused.pop(arrival.number, None)
        if paused is not None:
            paused.delivered = begun
            paused.ended_at = None
            return paused
        found = Try(arrival, request, number)
        self.tries.append(found)
        return found

    def started(self, found: Try, admitted: Admitted, now: float) -> None:
        """Record a start."""
        found.started_at = now
        found.reserved = admitted.reserved

    def tokens(self, found: Try, tokens: int, first: float | None, cheap: bool) -> None:
        """Record tokens of one attempt at an engine."""
        self.generated += tokens
        found.delivered += tokens
        if found.first_token_at is None:
            found.first_token_at = first
        if cheap:
            found.cheap_tokens += tokens

    def preempted(self, found: Try) -> None:
        """Record a preemption."""
        self.preemptions += 1
        if found.arrival.request_class.resumable:
            found.continued = True
            self._paused[found.arrival.number] = found

    def ended(self, found: Try, whole: bool, now: float) -> None:
        """Record the end of a try."""
        found.whole = whole
        found.ended_at = now

    def refused(self, found: Try, refused: Refused, now: float) -> None:
        """Record a refusal."""
        found.refusal = refused.reason
        found.ended_at = now

    def left(self, found: Try, now: float) -> None:
        """Record a caller that left before its request started."""
        found.refusal = RefusalReason.CALLER_LEFT
        found.ended_at = now

    def server_lost(self, backend_id: str, now: float) -> None:
        """Record the loss of a backend server."""
        self.lost[backend_id] = now
