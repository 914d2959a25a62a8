"""Sends one request to backend servers: server choice, retries and failure handling."""

from __future__ import annotations

import math

import attrs
from result import Err, Ok, Result

from hickoryloom.catalog import Customer, Route
from hickoryloom.discovery import BackendServer
from hickoryloom.gateway.context import AnyAttempt, Attempt, GatewayContext, PeerAttempt
from hickoryloom.gateway.crash_guard import CrashGuard
from hickoryloom.gateway.listing_wait import LISTING_CHECK_S, ListingWait
from hickoryloom.gateway.messages import CallerRequest, Refusal, ResponseHead
from hickoryloom.gateway.peer_attempts import PeerAttempts
from hickoryloom.gateway.progress import RequestProgress
from hickoryloom.gateway.reach_wait import ReachWait
from hickoryloom.gateway.refusals import refuse
from hickoryloom.gateway.request_log import HANDED_OVER, RequestLog
from hickoryloom.gateway.room_check import RoomCheck
from hickoryloom.gateway.send_checks import SendChecks
from hickoryloom.gateway.stream_pin import StreamPin
from hickoryloom.gateway.turn_wait import TurnWait
from hickoryloom.handover import HandOver, ReceivedCall
from hickoryloom.origins import Origin
from hickoryloom.placing import (
    Placement,
    PlacementOutcome,
    PlacementRequest,
    ReportedLoad,
    parse_pause,
)
from hickoryloom.quarantine import digest_request
from hickoryloom.upstream import (
    AttemptError,
    AttemptFailure,
    Exchange,
    FailureCause,
    request_head,
)
from hickoryloom.verdict import Verdict

__all__ = ["Attempts"]

HEAD_TIMEOUT_TARGETS = 2.5
"""Timeout for the response head of a repeatable request, as a multiple of the route's latency
target. On expiry the request is retried at another backend server."""

MIN_TARGET_S = 0.001

ENGINE_HEAD_TIMEOUT_TARGETS = 8.0
"""The same for requests to model engines, where a late first token usually means queueing rather
than a fault."""

PEER_SLOWNESS = 2.0
"""How many times as long as a server another instance may be silent: it notices a silent server
itself and moves the stream to another one."""

CLIENT_ERROR = 400


class Attempts:
    """Sends one request to backend servers and decides whether a retry is allowed.

    Args:
        context: Dependencies shared by all requests.
        request: The request.
        route: Its route.
        service: The service chosen among the route's targets.
        customer: The customer that is billed; None on a route that requires no key.
        arrived: Monotonic time of its arrival, in seconds.
        pin: Keeps a stream at its software version; None for a request of another kind.
        call: The request as it was received; None if it may not be handed over.
        hand_over: What another instance said when it handed the request over; None if none did.
    """

    def __init__(
        self,
        context: GatewayContext,
        request: CallerRequest,
        route: Route,
        service: str,
        customer: Customer | None,
        arrived: float,
        pin: StreamPin | None = None,
        call: ReceivedCall | None = None,
        hand_over: HandOver | None = None,
    ) -> None:
        self._pin = pin
        self._context = context
        self._request = request
        self._route = route
        self._customer = customer
        self._arrived = arrived
        caller_timeout_s = (
            route.timeout_s if request.caller_timeout_s is None else request.caller_timeout_s
        )
        self._caller_deadline = arrived + caller_timeout_s
        self._deadline = arrived + min(caller_timeout_s, route.timeout_s)
        shared = request.prompt_segments[:-1]
        self._placement_request = PlacementRequest(
            service,
            request.prompt_tokens,
            shared,
            urgency=context.catalog.priority_scale.priority(route, customer),
            output_tokens=request.output_tokens,
            target_s=route.target_s,
        )
        self._guard = CrashGuard(
            context.quarantine, context.witness, context.rng, service, shared, self._digest
        )
        self._progress = RequestProgress(
            route, self._deadline, sends=0 if hand_over is None else hand_over.sends
        )
        self._attempt: AnyAttempt | None = None
        self._in_budget = False
        self._has_retry = False
        self._reach_wait = ReachWait(context, service, route)
        self._peers: PeerAttempts | None = None
        # A request is handed over only once.
        if call is not None and hand_over is None:
            self._peers = PeerAttempts(
                context, call, request, arrived, self._deadline, self._progress, pin
            )
        self._log = RequestLog(
            context.clock,
            context.catalog,
            context.metrics,
            context.meter,
            request.id,
            route,
            customer,
            arrived,
            request.resumes,
            "" if hand_over is None else hand_over.sender,
        )
        self._checks = SendChecks(
            context, request, customer, pin, self._guard, self._progress, self.refuse
        )
        competes = hand_over is None and request.resume_after is None
        self._room = RoomCheck(
            context,
            self._log,
            customer,
            self._placement_request,
            self._deadline,
            self._guard,
            competes,
            self.refuse,
        )
        self._turn = TurnWait(context, self._log, route, arrived, self._deadline)
        self._listing = ListingWait(pin if route.resumable else None, service, self._deadline)

    @property
    def deadline(self) -> float:
        """Monotonic time at which the request times out, in seconds."""
        return self._deadline

    @property
    def caller_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._progress.caller_disconnected

    @property
    def retryable(self) -> bool:
        """Whether the request may be retried even if the current attempt may have run it."""
        return self._progress.retryable

    @property
    def origin(self) -> Origin | None:
        """Origin of a stream, if it is known; None for other requests."""
        return None if self._pin is None else self._pin.origin

    @property
    def log(self) -> RequestLog:
        """Log, metrics and usage records of the request."""
        return self._log

    def cancel(self) -> None:
        """Abort the request after its caller disconnected; may be called from any greenlet."""
        self._progress.caller_disconnected = True
        self._interrupt()

    def give_up(self, reason: str) -> None:
        """End the request; may be called from any greenlet."""
        self._progress.given_up = True
        self._progress.given_up_because = reason
        self._interrupt()

    def _interrupt(self) -> None:
        if self._attempt is not None:
            self._attempt.exchange.interrupt(FailureCause.CANCELLED)
        elif self._peers is not None:
            self._peers.interrupt()

    def abandon(self) -> bool:
        """Release the attempt in progress; return whether there was one."""
        if self._attempt is None:
            return False
        self.close(self._attempt, PlacementOutcome.ABANDONED)
        return True

    @property
    def given_up(self) -> str:
        """Why this instance has ended the request; empty if it has not."""
        return self._progress.given_up_because if self._progress.given_up else ""

    @property
    def has_ended(self) -> bool:
        """Whether its caller or this instance has ended the request."""
        return self._progress.caller_disconnected or self._progress.given_up

    @property
    def may_run_again(self) -> bool:
        """Whether the request is repeatable, or is at no backend server and has not run."""
        not_run = self._progress.verdict is Verdict.NOT_RUN and not self._progress.handed_over
        return self._route.repeatable or (self._attempt is None and not_run)

    @property
    def timeout_s(self) -> float:
        """Seconds from the arrival of the request to its deadline."""
        return self._deadline - self._arrived

    def start(self, resume_after: int | None) -> Result[AnyAttempt, Refusal]:
        """Send the request to the best reachable backend server, or hand it over if there is none.

        Args:
            resume_after: Id of the last forwarded event; None to request the response from its
                start.
        """
        if self._pin is not None:
            self._pin.find_origin(self._context.clock.monotonic())
        try:
            return self._start(resume_after)
        finally:
            self._turn.end()

    def _start(self, resume_after: int | None) -> Result[AnyAttempt, Refusal]:
        context = self._context
        while True:
            now = context.clock.monotonic()
            refusal = self._checks.check(now)
            if refusal is not None:
                return Err(refusal)
            if self._reach_wait.wait(self._progress.sends, now):
                continue
            if self._is_out_of_reach(now):
                return self._hand_over(resume_after)
            held = self._listing.held_servers()
            placement = self._choose(held, now)
            if placement is None and held:
                if not self._listing.wait(now):
                    return Err(self.refuse("version-not-listed", LISTING_CHECK_S))
                continue
            if placement is None and self._turn.wait(
                self._pinned_request(), frozenset(self._progress.excluded), resume_after, now
            ):
                continue
            if placement is None and self._progress.failed_connects:
                return self._hand_over(resume_after)
            if placement is None:
                context.meter.record_refused(self._placement_request.service)
                return Err(self._refuse_unplaced(now))
            server = placement.server
            refusal = self._room.check(placement, now)
            if refusal is not None:
                return Err(refusal)
            try:
                exchange = self._open(placement)
            except AttemptError as error:
                self._progress.record_unreachable(server.id)
                context.placer.start_attempt(placement, self._placement_request, now)
                context.placer.finish_attempt(
                    placement, self._placement_request, PlacementOutcome.UNREACHABLE, False, now
                )
                self._record_unreachable(server)
                if isinstance(error.__context__, ConnectionRefusedError):
                    context.cold.record_connection_refused(server, now)
                self._log.log_attempt(
                    placement, self._progress.sends, "unreachable", error.failure.detail
                )
                continue
            if not self._takes_requests(server):
                context.connections.close(exchange)
                # Another request has taken the turn at a cold server, which has further ones.
                if not self._turn.has_lost_turn(server, self._pinned_request()):
                    self._progress.excluded.add(server.id)
                continue
            refusal = self._checks.check(context.clock.monotonic())
            if refusal is not None:
                context.connections.close(exchange)
                return Err(refusal)
            return self._send(placement, exchange, resume_after)

    def _record_ended(self, service: str, work: float, now: float) -> None:
        delay_ratio = (now - self._arrived) / max(self._route.target_s, MIN_TARGET_S)
        self._context.contention.record_ended(service, work, delay_ratio, now)

    def _choose(self, held: frozenset[str], now: float) -> Placement | None:
        """Return the best backend server, unless others get a turn there before this request.

        Args:
            held: Ids of servers whose version is not listed yet.
            now: Monotonic time in seconds.
        """
        request = self._pinned_request()
        excluded = frozenset(self._progress.excluded) | held
        placement = self._context.placer.choose(request, excluded, now)
        if placement is None or self._turn.must_yield(placement.server, request, now):
            return None
        return placement

    def _takes_requests(self, server: BackendServer) -> bool:
        """Return whether a server still takes a request, now that it is connected."""
        now = self._context.clock.monotonic()
        if not self._context.placer.takes(server, self._placement_request, now):
            return False
        return self._context.discovery.is_usable(server)

    def _is_out_of_reach(self, now: float) -> bool:
        service = self._placement_request.service
        if self._progress.is_unreachable:
            return True
        if not self._context.reach.is_cut_off(service):
            return False
        may_try = self._progress.retryable and not self._progress.sends
        return not (may_try and self._context.reach.take_trial(service, now))

    def _hand_over(self, resume_after: int | None) -> Result[AnyAttempt, Refusal]:
        """Send the request to an instance that may reach its service."""
        if self._peers is not None:
            self._progress.handed_over = True
            self._attempt = self._peers.start(self._placement_request.service, resume_after)
        if self._attempt is None:
            blocked = self._progress.blocking_reason(self._context.clock.monotonic())
            return Err(self.refuse(blocked or "unreachable"))
        return Ok(self._attempt)

    def _record_unreachable(self, server: BackendServer) -> None:
        usable = len(self._context.placer.usable_addresses(server.service))
        now = self._context.clock.monotonic()
        self._context.reach.record_unreachable(server.service, server.id, usable, now)

    def _pinned_request(self) -> PlacementRequest:
        if self._pin is None or not self._pin.software:
            return self._placement_request
        return attrs.evolve(self._placement_request, software=self._pin.software)

    def _open(self, placement: Placement) -> Exchange:
        """Return an exchange, reusing an idle connection unless the server may be closing it."""
        address = placement.server.address
        return self._context.connections.open(
            address, self._request.id, self._request.method, new_connection=False
        )

    def _send(
        self, placement: Placement, exchange: Exchange, resume_after: int | None
    ) -> Result[AnyAttempt, Refusal]:
        context = self._context
        now = context.clock.monotonic()
        attempt = Attempt(placement, exchange, now)
        budget = context.retries(self._placement_request.service)
        if self._progress.sends == 0:
            # An attempt of which nothing was written may come before the first send.
            if not self._in_budget:
                budget.record_first_send(now)
            self._in_budget = True
        elif not self._reserve_retry(now):
            context.connections.close(exchange)
            return Err(self.refuse("retry-budget"))
        self._has_retry = False
        self._progress.record_sent()
        self._attempt = attempt
        context.meter.record_demand(self._placement_request.service, placement.prefill_tokens)
        context.placer.start_attempt(placement, self._placement_request, now)
        context.contention.record_sent(placement.server.service, placement.server.id, now)
        self._guard.record_sent(now)
        headers = context.backends.request_headers(
            self._request,
            placement.server,
            self._customer,
            context.catalog.priority_scale.priority(self._route, self._customer),
            self._deadline - now,
            self._request.resume_after if resume_after is None else resume_after,
        )
        exchange.read_deadline = self._deadline
        try:
            head = request_head(
                self._request.method,
                self._request.target,
                self._request.host,
                headers,
                len(self._request.body),
            )
            exchange.send(head, self._request.body)
        except ValueError as error:
            self.close(attempt, PlacementOutcome.ABANDONED)
            return Err(refuse(400, str(error), self._progress.verdict))
        except AttemptError as error:
            self.fail(attempt, error.failure)
            if error.failure.verdict is Verdict.NOT_RUN:
                self._progress.record_unsent()
            if self.may_retry(error.failure):
                return self.start(resume_after)
            return Err(self.refuse())
        self._log.log_attempt(
            placement,
            self._progress.sends,
            "sent",
            placement.reason,
            from_event=self._request.resume_after if resume_after is None else resume_after,
        )
        return Ok(attempt)

    def head_deadline(self, attempt: AnyAttempt) -> float:
        """Return the monotonic time at which waiting for the response head ends."""
        if isinstance(attempt, PeerAttempt) or not self._progress.retryable:
            return self._deadline
        targets = (
            ENGINE_HEAD_TIMEOUT_TARGETS
            if self._placement_request.prompt_tokens
            else HEAD_TIMEOUT_TARGETS
        )
        timeout_s = targets * self._route.target_s * self.slowness(attempt)
        return min(self._deadline, attempt.sent + timeout_s)

    def may_move(self, attempt: AnyAttempt) -> bool:
        """Return whether a silent attempt may end now: for another one, or at the deadline.

        The attempt must then end, as the other one is reserved.
        """
        context, progress = self._context, self._progress
        if self._pin is not None:
            self._pin.find_origin(context.clock.monotonic())
        now = context.clock.monotonic()
        if now >= self._deadline:
            return True
        if progress.blocking_reason(now) or self._guard.is_held(now):
            return False
        if self._pin is not None and self._pin.is_lost:
            return False
        service = self._placement_request.service
        if progress.is_unreachable or context.reach.is_cut_off(service):
            return self._peers is not None and self._peers.may_start(service, now)
        excluded = progress.excluded | self._listing.held_servers()
        if isinstance(attempt, Attempt):
            excluded = excluded | {attempt.placement.server.id}
        if context.placer.choose(self._pinned_request(), frozenset(excluded), now) is None:
            return False
        # Others may take the last retry while the next connection is being opened. What another
        # instance has begun to read counts as sent once it fails.
        is_sent = progress.sends or isinstance(attempt, PeerAttempt)
        return not is_sent or self._reserve_retry(now)

    def _reserve_retry(self, now: float) -> bool:
        """Reserve one more send of this request, unless it has one; return whether it has."""
        if not self._has_retry:
            budget = self._context.retries(self._placement_request.service)
            self._has_retry = budget.try_acquire(now)
        return self._has_retry

    def slowness(self, attempt: AnyAttempt) -> float:
        """Return how many times as long as usual the server of an attempt may take."""
        if isinstance(attempt, PeerAttempt):
            return PEER_SLOWNESS
        now = self._context.clock.monotonic()
        return self._context.placer.slowness(attempt.placement.server.id, now)

    def read_peer_head(self, attempt: PeerAttempt) -> Refusal | None:
        """Read the response head of another instance; return the refusal if it refuses.

        Raises:
            AttemptError: There is no valid response, or another instance may serve the request.
        """
        assert self._peers is not None
        refusal = self._peers.read_head(attempt)
        if refusal is not None:
            self._attempt = None
            self._peers.end(attempt, PlacementOutcome.REFUSED.value, refusal.reason)
        return refusal

    def record_head(self, attempt: Attempt, head: ResponseHead) -> None:
        """Record what a response head reports: load, idle timeout, leaving, a requested pause."""
        attempt.exchange.keep_alive_s = head.keep_alive_s
        if head.misdirected:
            return
        server = attempt.placement.server
        now = self._context.clock.monotonic()
        self._context.reach.record_contact(server.service, attempt.sent, now)
        if head.load is not None:
            self._context.placer.apply_load_report(server.id, head.load, now)
            self._record_load(attempt, head.load, head.not_run, now)
        elif head.load_unreadable:
            self._context.placer.note_unreadable_load(server.id, head.load_unreadable)
        # A server that turns a request away may not come to name its limit.
        if head.limit or (head.signed and not head.not_run):
            changed = self._context.placer.note_limit(server, head.limit, attempt.sent, now)
            if changed:
                self._log.log_limit(server, head.limit)
        if head.brittle or (head.signed and not head.not_run):
            self._context.placer.note_brittle(server, head.brittle, attempt.sent, now)
        if head.warm_up_ms:
            self._context.cold.note(server, head.warm_up_ms, attempt.sent, now)
        if head.turned_away:
            self._context.placer.record_rejected(server, now)
        if head.leaving:
            self._context.discovery.mark_leaving(server)
        if head.pause:
            pause_s, sound = parse_pause(head.pause)
            self._context.placer.request_pause(server, pause_s, now)
            self._log.log_pause(server, pause_s, "" if sound else head.pause)

    def _record_load(self, attempt: Attempt, load: ReportedLoad, not_run: bool, now: float) -> None:
        """Record the load of a server, and the time that a plain one took under that load."""
        contention, server = self._context.contention, attempt.placement.server
        slots = server.slots or load.slots
        contention.record_report(server.service, server.id, load.running, load.waiting, slots, now)
        if contention.is_on and not not_run and not self._placement_request.prompt_tokens:
            contention.work_times.record(server.service, now - attempt.sent, load.waiting, slots)

    def record_accepted(self, attempt: Attempt) -> None:
        """Record that a backend server has accepted the request for execution."""
        attempt.accepted = True
        self._progress.record_accepted()

    def record_event(self, attempt: AnyAttempt) -> None:
        """Record the arrival of an event of a stream."""
        if isinstance(attempt, PeerAttempt):
            attempt.first_event_received = True
            if self._pin is not None:
                self._pin.record_first_event_elsewhere(attempt.origin)
            return
        now = self._context.clock.monotonic()
        if not attempt.first_event_received:
            attempt.first_event_received = True
            attempt.first_event_at = now
            self._context.placer.record_first_token(attempt.placement, now - attempt.sent)
            self._log.record_first_event(now)
            self._record_ended(attempt.placement.server.service, self._room.work, now)
            if self._pin is not None:
                self._pin.record_first_event(attempt.placement.server)
        else:
            self._guard.record_event(attempt, now)

    def complete(self, attempt: AnyAttempt, outcome: PlacementOutcome, status: int) -> None:
        """Finish the request after its response was read completely."""
        if isinstance(attempt, PeerAttempt):
            self._progress.record_completed()
            self.close(attempt, outcome)
            self.log_end(HANDED_OVER, status)
            return
        now = self._context.clock.monotonic()
        if outcome is PlacementOutcome.DONE:
            self._guard.record_answer(attempt, now)
            if not self._placement_request.prompt_tokens and status < CLIENT_ERROR:
                self._context.placer.record_response(attempt.placement, now - attempt.sent)
        if not attempt.first_event_received:
            self._record_ended(attempt.placement.server.service, self._room.work, now)
        self._progress.record_completed()
        if self._pin is not None:
            self._pin.record_completed()
        self._log.record_start(attempt.sent)
        self.close(attempt, outcome)
        self.log_end("answered", status)

    def fail(self, attempt: AnyAttempt, failure: AttemptFailure) -> None:
        """Record and close a failed attempt."""
        if isinstance(attempt, PeerAttempt):
            assert self._peers is not None
            self._attempt = None
            self._peers.fail(attempt, failure)
            return
        progress = self._progress
        progress.record_failed(attempt.placement.server.id, failure)
        if failure.verdict is not Verdict.NOT_RUN and failure.cause is not FailureCause.CANCELLED:
            self._log.record_start(attempt.sent)
        if failure.cause is FailureCause.NOT_RUN:
            server = attempt.placement.server
            self._context.contention.record_turned_away(
                server.service, server.id, self._context.clock.monotonic()
            )
        if failure.cause is FailureCause.CONNECTION_LOST:
            self._context.reach.record_lost(attempt.placement.server.service)
            if failure.verdict is not Verdict.NOT_RUN:
                self._guard.record_end(attempt, self._context.clock.monotonic())
        in_flight = self._context.placer.in_flight_at(attempt.placement.server.id)
        self.close(attempt, _outcome_of(failure))
        self._log.log_failed_attempt(
            attempt.placement,
            progress.sends,
            failure,
            self._placement_request.shared,
            attempt.received,
            in_flight,
            self._guard.digest,
        )

    def may_retry(self, failure: AttemptFailure) -> bool:
        """Return whether the request may be retried after this failure."""
        return self._progress.may_retry(failure)

    def close(self, attempt: AnyAttempt, outcome: PlacementOutcome) -> None:
        """Release an attempt's connection; idempotent."""
        if attempt.ended:
            return
        self._attempt = None
        if isinstance(attempt, PeerAttempt):
            assert self._peers is not None
            self._peers.end(attempt, outcome.value)
            return
        attempt.ended = True
        self._log.record_framing(attempt.exchange.framing)
        now = self._context.clock.monotonic()
        self._context.connections.close(attempt.exchange)
        self._context.placer.finish_attempt(
            attempt.placement, self._placement_request, outcome, attempt.first_event_received, now
        )

    def log_end(self, outcome: str, status: int, detail: str = "") -> None:
        """Log the end of the request."""
        self._log.log_end(outcome, status, self._progress.verdict, self._progress.sends, detail)

    def _digest(self) -> str:
        request = self._request
        return digest_request(
            self._placement_request.service,
            request.method,
            request.target,
            request.key_hash if self._customer is None else self._customer.name,
            request.body,
            (segment.id for segment in request.prompt_segments),
        )

    def _refuse_unplaced(self, now: float) -> Refusal:
        memory = self._context.placer.memory
        if memory.is_too_large(self._placement_request):
            memory.record_too_large(self._placement_request)
            # It never fits, so the caller is not told to come back.
            return attrs.evolve(self.refuse("larger-than-engine-memory"), retry_after_s=None)
        rest_s = self._context.placer.shortest_rest_s(self._placement_request, now)
        if self._context.evacuated.record_refused(self._placement_request.service):
            return self.refuse("servers-evacuated", rest_s)
        if 0 < rest_s < math.inf and self._turn.is_waiting:
            return self.refuse("backend-servers-cold", rest_s)
        if 0 < rest_s < math.inf:
            return self.refuse("backend-servers-full", rest_s)
        pinned = self._pin is not None and self._pin.software
        return self.refuse("no-server-of-version" if pinned else "no-backend-server")

    def refuse(self, reason: str = "", wait_s: float = 0.0) -> Refusal:
        """Return the final refusal, with the execution verdict over all attempts so far.

        Args:
            reason: Short name of the cause; the cause of the last failure when empty.
            wait_s: Seconds before which a further request is pointless.
        """
        left_s = self._caller_deadline - self._context.clock.monotonic()
        progress = self._progress
        return refuse(
            0, reason or progress.cause, progress.verdict, left_s, self._context.rng, wait_s
        )


def _outcome_of(failure: AttemptFailure) -> PlacementOutcome:
    if failure.cause in (FailureCause.CANCELLED, FailureCause.PREEMPTED):
        return PlacementOutcome.ABANDONED
    if failure.cause is FailureCause.NOT_RUN:
        return PlacementOutcome.REFUSED
    return PlacementOutcome.FAILED
