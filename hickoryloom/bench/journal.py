"""Records of one simulated run."""

from __future__ import annotations

import attrs

from hickoryloom.admission import Admitted, RefusalReason, Refused, Request
from hickoryloom.bench.experiment import Experiment
from hickoryloom.bench.workload import Arrival

__all__ = ["Journal", "Submission"]

CAPACITY_REFUSAL_REASONS = (
    RefusalReason.OVERLOAD,
    RefusalReason.EXPECTED_LATE,
    RefusalReason.NO_BACKEND,
)


@attrs.define(eq=False)
class Submission:
    """One submission of a caller's request: the first one or a retry.

    Attributes:
        arrival: The caller's request.
        request: The request as submitted to admission.
        number: 0 for the first submission.
        delivered: Tokens delivered to the caller.
        first_token_at: Time of the first token.
        ended_at: Time of the end.
        whole: Whether the complete answer was delivered.
        refusal: Why it was refused; None if it was not.
        started_at: Time at which admission started it.
        reserved: Whether it used its class's reserve.
        cheap_tokens: Tokens generated on reclaimable backend servers.
        resumed: Whether it continued its answer after a preemption.
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
    resumed: bool = False

    @property
    def met(self) -> bool:
        """Whether it met the latency targets of its class."""
        if not self.whole or self.first_token_at is None or self.ended_at is None:
            return False
        request_class = self.arrival.request_class
        first_s = self.first_token_at - self.request.arrived
        whole_s = self.ended_at - self.request.arrived
        in_time = first_s <= request_class.first_token_ms / 1000
        return in_time and (
            not request_class.answer_ms or whole_s <= request_class.answer_ms / 1000
        )


@attrs.define
class Journal:
    """Records of one run.

    Attributes:
        experiment: The experiment that was run.
        submissions: All submissions in order of arrival.
        generated: Number of tokens that engines generated.
        messages: Number of messages between entries.
        preemptions: Number of preemptions.
        lost: Times at which backend servers were lost, by id.
    """

    experiment: Experiment
    submissions: list[Submission] = attrs.field(factory=list)
    generated: int = 0
    messages: int = 0
    preemptions: int = 0
    lost: dict[str, float] = attrs.field(factory=dict)
    _preempted: dict[int, Submission] = attrs.field(factory=dict)

    def open_submission(
        self, arrival: Arrival, request: Request, number: int, delivered_before: int
    ) -> Submission:
        """Record a new submission, or the resumption of a preempted one."""
        resumed = self._preempted.pop(arrival.number, None)
        if resumed is not None:
            resumed.delivered = delivered_before
            resumed.ended_at = None
            return resumed
        submission = Submission(arrival, request, number)
        self.submissions.append(submission)
        return submission

    def record_start(self, submission: Submission, admitted: Admitted, now: float) -> None:
        """Record that admission started a request."""
        submission.started_at = now
        submission.reserved = admitted.reserved

    def record_tokens(
        self, submission: Submission, tokens: int, first_token_at: float | None, cheap: bool
    ) -> None:
        """Record the tokens of one attempt at an engine."""
        self.generated += tokens
        submission.delivered += tokens
        if submission.first_token_at is None:
            submission.first_token_at = first_token_at
        if cheap:
            submission.cheap_tokens += tokens

    def record_preemption(self, submission: Submission) -> None:
        """Record a preemption."""
        self.preemptions += 1
        if submission.arrival.request_class.resumable:
            submission.resumed = True
            self._preempted[submission.arrival.number] = submission

    def record_end(self, submission: Submission, whole: bool, now: float) -> None:
        """Record the end of a submission."""
        submission.whole = whole
        submission.ended_at = now

    def record_refusal(self, submission: Submission, refused: Refused, now: float) -> None:
        """Record a refusal."""
        submission.refusal = refused.reason
        submission.ended_at = now

    def record_abandonment(self, submission: Submission, now: float) -> None:
        """Record that the caller left before its request started."""
        submission.refusal = RefusalReason.CALLER_DISCONNECTED
        submission.ended_at = now

    def record_server_loss(self, backend_id: str, now: float) -> None:
        """Record the loss of a backend server."""
        self.lost[backend_id] = now
