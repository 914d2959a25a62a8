"""Hands calls over to other entries while their pool can't be reached from here."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import logbook

from hickoryloom.admission import RefusalReason, Refused
from hickoryloom.clock import Clock
from hickoryloom.entry.errors import reply_with_error, response_for_refusal
from hickoryloom.entry.messages import Reply
from hickoryloom.handover import (
    MAX_PEERS,
    HandOver,
    HandOverClient,
    HandOverPeer,
    read_call,
    without_hand_over_headers,
)
from hickoryloom.http import DisconnectWatch
from hickoryloom.logs import log_event
from hickoryloom.upstream import (
    AttemptError,
    AttemptFailure,
    Exchange,
    FailureCause,
    end_to_end_headers,
)
from hickoryloom.verdict import Verdict

__all__ = ["UNABLE_REASONS", "EntryHandOvers", "HandOverCall"]

RESPONSE_TIMEOUT_S = 60.0
"""Longest time for the response of another entry, which limits its attempts by itself."""

UNABLE_REASONS = frozenset(("unreachable", "stale-view", "stopping", "hand-over-not-signed"))
"""Causes of refusals for which another entry may serve the call all the same."""

HandOverCall = Callable[[str, str], Reply | None]
"""Hands one call over, given its pool and id; returns None if no other entry can serve it."""

log = logbook.Logger("hickoryloom.entry")


class EntryHandOvers:
    """Hands calls over to other entries.

    Args:
        client: Sends calls to other entries.
        clock: Source of time.
        instance: Name of this instance.
    """

    def __init__(self, client: HandOverClient, clock: Clock, instance: str) -> None:
        self._client = client
        self._clock = clock
        self._instance = instance

    def forward(
        self, environ: dict[str, Any], body: bytes, arrived: float, pool: str, request_id: str
    ) -> Reply | None:
        """Hand a call over and return the reply; None if no other entry can serve it.

        Args:
            environ: WSGI environment of the call.
            body: Its body.
            arrived: Monotonic time of its arrival, in seconds.
            pool: Pool that can't be reached.
            request_id: Id of the call.
        """
        call = read_call(environ, body)
        tried: set[str] = set()
        while len(tried) < MAX_PEERS:
            now = self._clock.monotonic()
            peer = self._client.peers.choose(pool, frozenset(tried), now)
            if peer is None:
                return None
            tried.add(peer.address)
            hand_over = HandOver(self._instance, request_id, round(max(0.0, now - arrived), 3))
            try:
                exchange = self._client.send(peer, call, hand_over, now + RESPONSE_TIMEOUT_S)
            except AttemptError as error:
                failure = error.failure
            else:
                watch = DisconnectWatch(
                    environ, lambda exchange=exchange: exchange.interrupt(FailureCause.CANCELLED)
                )
                try:
                    return self._read_reply(peer, exchange, watch)
                except AttemptError as error:
                    watch.stop()
                    self._client.close(peer, exchange)
                    failure = error.failure
            self._record_failure(peer, pool, request_id, failure)
            if failure.verdict is not Verdict.NOT_RUN:
                refused = Refused(RefusalReason.BACKEND_FAILED, failure.verdict, 0.0)
                return reply_with_error(response_for_refusal(refused, request_id))
        return None

    def _read_reply(self, peer: HandOverPeer, exchange: Exchange, watch: DisconnectWatch) -> Reply:
        """Return the reply as it arrives.

        Raises:
            AttemptError: There is no response, or another entry may serve the call.
        """
        self._client.read_head(exchange)
        headers = without_hand_over_headers(end_to_end_headers(exchange.headers))
        return Reply(exchange.status, list(headers), _Body(self._client, peer, exchange, watch))

    def _record_failure(
        self, peer: HandOverPeer, pool: str, request_id: str, failure: AttemptFailure
    ) -> None:
        self._client.peers.skip(peer, pool, self._clock.monotonic())
        log_event(
            log,
            "hand-over-failed",
            request_id=request_id,
            pool=pool,
            peer=peer.address,
            verdict=failure.verdict.value,
            cause=failure.cause.value,
            detail=failure.detail,
        )


class _Body:
    """WSGI body iterable of a response from another entry."""

    def __init__(
        self, client: HandOverClient, peer: HandOverPeer, exchange: Exchange, watch: DisconnectWatch
    ) -> None:
        self._client = client
        self._peer = peer
        self._exchange = exchange
        self._watch = watch
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        try:
            while chunk := self._exchange.read():
                yield chunk
        except AttemptError as error:
            # Ends the connection, so that the caller notices that the response is incomplete.
            raise ConnectionAbortedError(error.failure.detail)

    def close(self) -> None:
        """Release the connection, also after the caller has disconnected."""
        if not self._closed:
            self._closed = True
            self._watch.stop()
            self._client.close(self._peer, self._exchange)
