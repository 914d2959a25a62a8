"""Hands one request over to other instances, when this one can't reach its service."""

from __future__ import annotations

import attrs
import logbook

from hickoryloom.gateway.context import GatewayContext, PeerAttempt
from hickoryloom.gateway.messages import CallerRequest, Refusal
from hickoryloom.gateway.progress import NO_MEMORY, STOPPING, RequestProgress
from hickoryloom.gateway.stream_pin import StreamPin
from hickoryloom.handover import MAX_PEERS, HandOver, HandOverPeer, ReceivedCall
from hickoryloom.logs import log_event
from hickoryloom.origins import Origin
from hickoryloom.upstream import AttemptError, AttemptFailure, Exchange, FailureCause
from hickoryloom.verdict import Verdict

__all__ = ["UNABLE_REASONS", "PeerAttempts", "with_hand_over"]

UNABLE_REASONS = frozenset(
    (
        "body-cut-short",
        "body-too-large",
        "body-too-slow",
        "hand-over-not-signed",
        "no-configuration",
        NO_MEMORY,
        "stale-view",
        STOPPING,
        "unknown-key",
        "unknown-route",
        "unreachable",
    )
)
"""Causes of refusals for which another instance may serve the request all the same."""

log = logbook.Logger("hickoryloom.gateway")


class PeerAttempts:
    """Hands one request over.

    Args:
        context: Dependencies shared by all requests.
        call: The request as it was received.
        request: The decoded request.
        arrived: Monotonic time of its arrival, in seconds.
        deadline: Monotonic time at which it times out, in seconds.
        progress: Its execution state.
        pin: Keeps a stream at its software version; None for a request of another kind.
    """

    def __init__(
        self,
        context: GatewayContext,
        call: ReceivedCall,
        request: CallerRequest,
        arrived: float,
        deadline: float,
        progress: RequestProgress,
        pin: StreamPin | None = None,
    ) -> None:
        self._context = context
        self._call = call
        self._request = request
        self._arrived = arrived
        self._deadline = deadline
        self._progress = progress
        self._pin = pin
        self._tried: set[str] = set()
        self._sending: Exchange | None = None

    def start(self, service: str, resume_after: int | None) -> PeerAttempt | None:
        """Send the request to another instance; return None if none can take it.

        Args:
            service: Service that this instance can't reach.
            resume_after: Id of the last forwarded event; None unless a stream goes on.
        """
        while len(self._tried) < MAX_PEERS:
            now = self._context.clock.monotonic()
            if self._progress.blocking_reason(now):
                return None
            peer = self._context.hand_overs.peers.choose(service, frozenset(self._tried), now)
            if peer is None:
                return None
            self._tried.add(peer.address)
            hand_over = HandOver(
                sender=self._context.instance,
                request=self._request.id,
                elapsed_s=round(max(0.0, now - self._arrived), 3),
                sends=self._progress.sends,
                resume_after=resume_after,
                resumes="" if resume_after is None else self._begun_by,
                service=service,
                origin=self._known_origin,
            )
            try:
                exchange = self._context.hand_overs.send(
                    peer,
                    self._call,
                    hand_over,
                    self._deadline,
                    awaits_reading=True,
                    on_open=self._on_open,
                )
            except AttemptError as error:
                self._record_failure(peer, service, now, error.failure)
                if not self._progress.may_retry(error.failure):
                    return None
                continue
            finally:
                self._sending = None
            return PeerAttempt(peer, service, exchange, now)
        return None

    def interrupt(self) -> None:
        """End a hand-over that is being sent; may be called from any greenlet."""
        if self._sending is not None:
            self._sending.interrupt(FailureCause.CANCELLED)

    def _on_open(self, exchange: Exchange) -> None:
        self._sending = exchange
        # The caller may have left while the connection was being opened.
        if self._progress.caller_disconnected or self._progress.given_up:
            self.interrupt()

    def may_start(self, service: str, now: float) -> bool:
        """Return whether there is another instance that can take the request."""
        tried = frozenset(self._tried)
        peers = self._context.hand_overs.peers
        return len(tried) < MAX_PEERS and peers.choose(service, tried, now) is not None

    def read_head(self, attempt: PeerAttempt) -> Refusal | None:
        """Read the response head; return the refusal if the other instance refuses the request.

        Raises:
            AttemptError: There is no valid response, or another instance may serve the request.
        """
        exchange = attempt.exchange
        result = self._context.hand_overs.read_head(exchange)
        if not result.refused:
            attempt.origin = result.origin
            self._progress.record_accepted()
            return None
        if result.verdict is not Verdict.NOT_RUN:
            self._progress.verdict = result.verdict
        retry_after_s = _read_seconds(exchange.header("retry-after"))
        return Refusal(exchange.status, result.refused, result.verdict, retry_after_s)

    def fail(self, attempt: PeerAttempt, failure: AttemptFailure) -> None:
        """Record and close a failed attempt."""
        self._record_failure(attempt.peer, attempt.service, attempt.sent, failure)
        self._close(attempt)

    def end(self, attempt: PeerAttempt, outcome: str, detail: str = "") -> None:
        """Log the end of an attempt and release its connection; idempotent."""
        if not attempt.ended:
            self._log(attempt.peer, attempt.service, attempt.sent, outcome, detail)
            self._close(attempt)

    def _close(self, attempt: PeerAttempt) -> None:
        if not attempt.ended:
            attempt.ended = True
            self._context.hand_overs.close(attempt.peer, attempt.exchange)

    def _record_failure(
        self, peer: HandOverPeer, service: str, sent: float, failure: AttemptFailure
    ) -> None:
        """Record a failure; an attempt that may have reached a server counts as sent to it."""
        if failure.verdict is not Verdict.NOT_RUN:
            self._progress.record_sent()
        self._progress.record_failed(peer.address, failure)
        if failure.cause is not FailureCause.CANCELLED:
            now = self._context.clock.monotonic()
            self._context.hand_overs.peers.skip(peer, service, now)
        self._log(peer, service, sent, failure.cause.value, failure.detail)

    def _log(
        self, peer: HandOverPeer, service: str, sent: float, outcome: str, detail: str
    ) -> None:
        log_event(
            log,
            "hand-over",
            request=self._request.id,
            service=service,
            peer=peer.address,
            failure_domain=peer.failure_domain,
            took_ms=round((self._context.clock.monotonic() - sent) * 1000),
            outcome=outcome,
            detail=detail or None,
        )

    @property
    def _known_origin(self) -> Origin | None:
        """The origin of a stream that goes on, unless it is not certain."""
        origin = None if self._pin is None else self._pin.origin
        return origin if origin is not None and origin.software and origin.is_bounded else None

    @property
    def _begun_by(self) -> str:
        return self._request.resumes or self._request.id


def with_hand_over(request: CallerRequest, hand_over: HandOver) -> CallerRequest:
    """Return a request with what was said when it was handed over."""
    if hand_over.resume_after is None:
        return request
    return attrs.evolve(request, resume_after=hand_over.resume_after, resumes=hand_over.resumes)


def _read_seconds(value: str) -> float | None:
    try:
        return float(value) if value else None
    except ValueError:
        log_event(log, "retry-after-unreadable", value=value[:60])
        return None
