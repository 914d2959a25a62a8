"""Claims of one entry: the steps of the protocol made against the platform."""

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
from hickoryloom.claims.messages import Claim, ClaimRecord, ClaimState, StoredAnswer
from hickoryloom.claims.outcome_writer import Finisher, Pending
from hickoryloom.claims.refusals import refuse_in_progress, refuse_without_platform
from hickoryloom.claims.state import begin_steps, discard_steps, finish_steps, mark_sent_steps
from hickoryloom.claims.sweeper import Sweeper
from hickoryloom.clock import Clock
from hickoryloom.http import Call
from hickoryloom.logs import log_event
from hickoryloom.store import CallPriority, PlatformClient, run_steps
from hickoryloom.verdict import Verdict

__all__ = ["Claims"]

MAX_STORED_BYTES = 16 * 1024
MAX_SENT_KEYS = 10_000
FLUSH_TIMEOUT_S = 10.0

log = logbook.Logger("hickoryloom.claims")


class Claims:
    """Lets a call that must not be repeated run at most once, across all entries.

    For each call: `begin`; then, right before its first byte is sent, `mark_sent`; then exactly
    one of `complete`, `abandon` and `lose`. A refusal by `begin` or `mark_sent` means that no
    byte may be sent.

    Args:
        client: Client of the platform.
        clock: Source of time.
        incarnation: Incarnation of this entry.
        is_live: Whether the entry with an incarnation is alive; None if that can't be told.
        random: Source of jitter; None for one seeded by the system.
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
        self._active: dict[str, str] = {}
        self._sent: OrderedDict[str, None] = OrderedDict()
        random = random or Random()
        self._finisher = Finisher(client, random, self._end)
        self._sweeper = Sweeper(client, clock, random)
        self._tasks: list[gevent.Greenlet] = []

    @property
    def active(self) -> int:
        """Claims that this entry has not brought to an end."""
        return len(self._active)

    def start(self) -> None:
        """Begin to write late outcomes and to delete expired claims."""
        self._tasks = [gevent.spawn(self._finisher.run), gevent.spawn(self._sweeper.run)]

    def stop(self) -> None:
        """Write the outcomes that are left, as far as the platform answers, and end."""
        flushed = self._finisher.flush(FLUSH_TIMEOUT_S)
        if not flushed:
            log_event(log, "claim-outcomes-left", count=self._finisher.pending)
        gevent.killall(self._tasks)

    def begin(self, request: Request, call: Call) -> Result[Claim | StoredAnswer, Refused]:
        """Claim a call before any byte of it is sent.

        Args:
            request: The request, with its customer, service and idempotency key.
            call: The call as it will be sent.

        Returns:
            The claim; the stored outcome, when the call has run before; or a refusal.
        """
        key = claim_key(request.customer, request.service, request.idempotency_key)
        if key in self._active:
            return Err(refuse_in_progress())
        attempt = f"{self._incarnation}/{uuid.uuid4().hex}"
        self._active[key] = attempt
        try:
            return self._begin(key, attempt, digest_call(call))
        except BaseException:
            self._discard_later(key, attempt)
            raise

    def mark_sent(self, claim: Claim) -> Result[Claim, Refused]:
        """Get the right to send the call; to be asked right before its first byte.

        Returns:
            The claim to end with, whose `may_send` is to be asked right before the write; or a
            refusal, after which no byte may be sent.
        """
        try:
            marked = run_steps(mark_sent_steps(claim, self._clock.wall()), self._client)
        except BaseException:
            self._discard_later(claim.key, claim.record.attempt)
            raise
        if marked.is_err():
            self._discard_later(claim.key, claim.record.attempt)
        else:
            self._note_sent(claim.key)
        return marked

    def complete(self, claim: Claim, stored: StoredAnswer) -> None:
        """Keep the outcome of a call that ran, for repeats of it.

        Tries once at once; while the platform is down, it is tried again in the background.
        """
        kept = stored
        if len(stored.body) > MAX_STORED_BYTES:
            kept = attrs.evolve(stored, body=b"", kept=False)
        self._finish(claim, ClaimState.DONE, kept)

    def lose(self, claim: Claim) -> None:
        """Note that a call was sent and that its outcome is not known."""
        self._finish(claim, ClaimState.LOST, None)

    def abandon(self, claim: Claim) -> None:
        """Give up a claim whose call was certainly not run, so that a repeat may run it."""
        self._sent.pop(claim.key, None)
        self._finisher.finish(self._discard(claim.key, claim.record.attempt))

    def _begin(
        self, key: str, attempt: str, call_digest: str
    ) -> Result[Claim | StoredAnswer, Refused]:
        stamped = self._clock.monotonic()
        if not self._sweeper.ensure_epoch():
            self._active.pop(key, None)
            return Err(self._tell(key, refuse_without_platform()))
        record = ClaimRecord(
            state=ClaimState.CLAIMED,
            attempt=attempt,
            owner=self._incarnation,
            call_digest=call_digest,
            changed=self._clock.wall(),
            epoch=self._sweeper.view.epoch,
        )
        steps = begin_steps(key, record, self._is_gone, stamped)
        # What is begun must be ended: new claims yield to the later steps of those that are held.
        begun = run_steps(steps, self._client, CallPriority.BACKGROUND)
        if begun.is_err() and begun.unwrap_err().may_hold:
            self._discard_later(key, attempt)
        elif begun.is_err() or isinstance(begun.unwrap(), StoredAnswer):
            self._active.pop(key, None)
        return begun.map_err(lambda not_claimed: self._tell(key, not_claimed.refused))

    def _note_sent(self, key: str) -> None:
        self._sent[key] = None
        if len(self._sent) > MAX_SENT_KEYS:
            self._sent.popitem(last=False)

    def _tell(self, key: str, refused: Refused) -> Refused:
        """Return a refusal with what this entry remembers of earlier requests with the key."""
        if refused.reason is RefusalReason.PLATFORM_UNAVAILABLE and key in self._sent:
            return attrs.evolve(refused, verdict=Verdict.MAY_HAVE_RUN)
        return refused

    def _finish(self, claim: Claim, state: ClaimState, answer: StoredAnswer | None) -> None:
        record = attrs.evolve(
            claim.record,
            state=state,
            answer=answer,
            changed=self._clock.wall(),
            epoch=max(claim.record.epoch, self._sweeper.view.epoch),
        )
        pending = Pending(
            claim.key, claim.record.attempt, lambda tries: finish_steps(claim, record, tries)
        )
        self._finisher.finish(pending)

    def _discard_later(self, key: str, attempt: str) -> None:
        pending = self._discard(key, attempt)
        self._end(pending)
        self._finisher.add(pending)

    def _discard(self, key: str, attempt: str) -> Pending:
        return Pending(key, attempt, lambda tries: discard_steps(key, attempt))

    def _end(self, pending: Pending) -> None:
        if self._active.get(pending.key) == pending.attempt:
            del self._active[pending.key]

    def _is_gone(self, record: ClaimRecord) -> bool:
        if record.owner == self._incarnation:
            return record.attempt not in self._active.values()
        return self._is_live is not None and not self._is_live(record.owner)
