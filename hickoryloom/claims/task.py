"""Claims of one entry: runs the steps of the claim protocol against the platform."""

from __future__ import annotations

import uuid
from collections import OrderedDict
from collections.abc import Callable
from random import Random

import attrs
import gevent
import logbook
from result import Err, Result

from hickoryloom.admission import RefusalReason, Refused, Request
from hickoryloom.claims.codec import claim_key, digest_call
from hickoryloom.claims.messages import Claim, ClaimRecord, ClaimState, StoredResponse
from hickoryloom.claims.outcome_writer import OutcomeWriter, PendingChange
from hickoryloom.claims.refusals import refuse_in_progress, refuse_platform_unavailable
from hickoryloom.claims.state import begin_steps, discard_steps, finish_steps, mark_sent_steps
from hickoryloom.claims.sweeper import Sweeper
from hickoryloom.clock import Clock
from hickoryloom.http import Call
from hickoryloom.logs import log_event
from hickoryloom.store import CallPriority, PlatformClient, execute_steps
from hickoryloom.verdict import Verdict

__all__ = ["Claims"]

MAX_STORED_BYTES = 16 * 1024
MAX_SENT_KEYS = 10_000
FLUSH_TIMEOUT_S = 10.0

log = logbook.Logger("hickoryloom.claims")


class Claims:
    """Ensures that a call that must not be repeated runs at most once, across all entries.

    For each call, use `begin`; then `mark_sent` immediately before the first byte is sent; then
    exactly one of `complete`, `discard` and `mark_outcome_unknown`. After a refusal by `begin` or
    `mark_sent`, no byte may be sent.

    Args:
        client: Client of the platform.
        clock: Source of time.
        incarnation: Incarnation of this entry.
        is_live: Returns whether the entry with an incarnation is alive; None if
            that can't be determined.
        random: Source of jitter; None for a new one seeded by the system.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        incarnation: str,
        is_live: Callable[[str], bool] | None = None,
        random: Random | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._incarnation = incarnation
        self._is_live = is_live
        self._active_attempts: dict[str, str] = {}
        self._sent_keys: OrderedDict[str, None] = OrderedDict()
        random = random or Random()
        self._outcome_writer = OutcomeWriter(client, random, self._deactivate)
        self._sweeper = Sweeper(client, clock, random)
        self._tasks: list[gevent.Greenlet] = []

    @property
    def active(self) -> int:
        """Number of claims of this entry that have not ended."""
        return len(self._active_attempts)

    def start(self) -> None:
        """Start the tasks that write pending outcomes and delete expired claims."""
        self._tasks = [gevent.spawn(self._outcome_writer.run), gevent.spawn(self._sweeper.run)]

    def stop(self) -> None:
        """Try to write the pending outcomes until a timeout, then stop."""
        flushed = self._outcome_writer.flush(FLUSH_TIMEOUT_S)
        if not flushed:
            log_event(log, "claim-outcomes-left", count=self._outcome_writer.pending)
        gevent.killall(self._tasks)

    def begin(self, request: Request, call: Call) -> Result[Claim | StoredResponse, Refused]:
        """Claim a call, before any byte of it is sent.

        Args:
            request: Request with customer, service and idempotency key.
            call: Call as it will be sent.

        Returns:
            The claim; the stored response if the call has run before; or a refusal.
        """
        key = claim_key(request.customer, request.service, request.idempotency_key)
        if key in self._active_attempts:
            return Err(refuse_in_progress())
        attempt = f"{self._incarnation}/{uuid.uuid4().hex}"
        self._active_attempts[key] = attempt
        try:
            return self._begin(key, attempt, digest_call(call))
        except BaseException:
            self._discard_later(key, attempt)
            raise

    def mark_sent(self, claim: Claim) -> Result[Claim, Refused]:
        """Mark the call as sent, immediately before its first byte is sent.

        Returns:
            The updated claim, whose `may_send` must be checked immediately before the write; or a
            refusal, after which no byte may be sent.
        """
        try:
            marked = execute_steps(mark_sent_steps(claim, self._clock.wall()), self._client)
        except BaseException:
            self._discard_later(claim.key, claim.record.attempt)
            raise
        if marked.is_err():
            self._discard_later(claim.key, claim.record.attempt)
        else:
            self._record_sent(claim.key)
        return marked

    def complete(self, claim: Claim, stored: StoredResponse) -> None:
        """Store the response to a call that ran, for replay to repeats of it.

        Writes it immediately; if the platform is down, retries in the background.
        """
        response = stored
        if len(stored.body) > MAX_STORED_BYTES:
            response = attrs.evolve(stored, body=b"", kept=False)
        self._submit_outcome(claim, ClaimState.DONE, response)

    def mark_outcome_unknown(self, claim: Claim) -> None:
        """Record that a call was sent and that its outcome is unknown."""
        self._submit_outcome(claim, ClaimState.LOST, None)

    def discard(self, claim: Claim) -> None:
        """Discard a claim whose call was certainly not run, so that a repeat may run it."""
        self._sent_keys.pop(claim.key, None)
        self._outcome_writer.submit(self._build_discard(claim.key, claim.record.attempt))

    def _begin(
        self, key: str, attempt: str, call_digest: str
    ) -> Result[Claim | StoredResponse, Refused]:
        stamped_at = self._clock.monotonic()
        if not self._sweeper.ensure_epoch():
            self._active_attempts.pop(key, None)
            return Err(self._adjust_verdict(key, refuse_platform_unavailable()))
        record = ClaimRecord(
            state=ClaimState.CLAIMED,
            attempt=attempt,
            owner=self._incarnation,
            call_digest=call_digest,
            changed=self._clock.wall(),
            epoch=self._sweeper.view.epoch,
        )
        steps = begin_steps(key, record, self._has_ended, stamped_at)
        # New claims use a lower priority than the later steps of held claims. With one priority for
        # both, new claims would use up the call budget and few held claims could be completed.
        begun = execute_steps(steps, self._client, CallPriority.BACKGROUND)
        if begun.is_err() and begun.unwrap_err().may_hold_claim:
            self._discard_later(key, attempt)
        elif begun.is_err() or isinstance(begun.unwrap(), StoredResponse):
            self._active_attempts.pop(key, None)
        return begun.map_err(lambda refusal: self._adjust_verdict(key, refusal.refused))

    def _record_sent(self, key: str) -> None:
        self._sent_keys[key] = None
        if len(self._sent_keys) > MAX_SENT_KEYS:
            self._sent_keys.popitem(last=False)

    def _adjust_verdict(self, key: str, refused: Refused) -> Refused:
        """Return the refusal, as `MAY_HAVE_RUN` if this entry has sent a call with the key."""
        if refused.reason is RefusalReason.PLATFORM_UNAVAILABLE and key in self._sent_keys:
            return attrs.evolve(refused, verdict=Verdict.MAY_HAVE_RUN)
        return refused

    def _submit_outcome(
        self, claim: Claim, state: ClaimState, answer: StoredResponse | None
    ) -> None:
        record = attrs.evolve(
            claim.record,
            state=state,
            answer=answer,
            changed=self._clock.wall(),
            epoch=max(claim.record.epoch, self._sweeper.view.epoch),
        )
        pending = PendingChange(
            claim.key, claim.record.attempt, lambda tries: finish_steps(claim, record, tries)
        )
        self._outcome_writer.submit(pending)

    def _discard_later(self, key: str, attempt: str) -> None:
        pending = self._build_discard(key, attempt)
        self._deactivate(pending)
        self._outcome_writer.enqueue(pending)

    def _build_discard(self, key: str, attempt: str) -> PendingChange:
        return PendingChange(key, attempt, lambda tries: discard_steps(key, attempt))

    def _deactivate(self, pending: PendingChange) -> None:
        if self._active_attempts.get(pending.key) == pending.attempt:
            del self._active_attempts[pending.key]

    def _has_ended(self, record: ClaimRecord) -> bool:
        if record.owner == self._incarnation:
            return record.attempt not in self._active_attempts.values()
        return self._is_live is not None and not self._is_live(record.owner)
