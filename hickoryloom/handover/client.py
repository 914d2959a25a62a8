"""Sends requests to other instances."""

from __future__ import annotations

from collections.abc import Callable

from result import Err

from hickoryloom.handover.messages import (
    HAND_OVER_HEADER,
    RESULT_HEADER,
    SIGNATURE_HEADER,
    HandOver,
    HandOverPeer,
    HandOverResult,
    ReceivedCall,
    decode_result,
    encode_hand_over,
)
from hickoryloom.handover.peers import HandOverPeers
from hickoryloom.handover.signing import sign_call
from hickoryloom.upstream import (
    AttemptError,
    AttemptFailure,
    ConnectionPool,
    Exchange,
    FailureCause,
    request_head,
)
from hickoryloom.verdict import Verdict

__all__ = ["MAX_PEERS", "HandOverClient"]

MAX_PEERS = 3
"""Instances to which one request is handed over, one after the other."""

LAST_CHUNK = b"0\r\n\r\n"
"""Body of a request without one, which gives it an end that can be held back."""

IDLE_S = 5.0
"""Time for which an idle connection to another instance is kept."""


class HandOverClient:
    """Hands requests over to other instances.

    Attributes:
        peers: The other instances.

    Args:
        peers: The other instances.
        connections: Connections to them.
        unable_reasons: Causes of refusals for which another instance may serve the request all
            the same.
    """

    def __init__(
        self, peers: HandOverPeers, connections: ConnectionPool, unable_reasons: frozenset[str]
    ) -> None:
        self.peers = peers
        self._unable_reasons = unable_reasons
        self._connections = connections

    def send(
        self,
        peer: HandOverPeer,
        call: ReceivedCall,
        hand_over: HandOver,
        deadline: float,
        awaits_reading: bool = False,
        on_open: Callable[[Exchange], None] | None = None,
    ) -> Exchange:
        """Send a request; the response can be read from the exchange.

        Args:
            peer: The other instance.
            call: The caller's request.
            hand_over: What accompanies it.
            deadline: Monotonic time at which reading the response times out, in seconds.
            awaits_reading: Whether the end of the request is sent only once the peer reads it, so
                that it is certain that a peer which ends before has not run it.
            on_open: Called with the exchange before anything is sent; it may interrupt it.

        Raises:
            AttemptError: The connection failed; part of the request may have been sent.
        """
        value = encode_hand_over(hand_over)
        signature = sign_call(peer.token, peer.address, value, call)
        added = ((HAND_OVER_HEADER, value), (SIGNATURE_HEADER, signature))
        headers = (*call.forwarded_headers, *added)
        body = call.body
        length: int | None = len(body)
        if awaits_reading:
            headers = (*headers, ("expect", "100-continue"))
            if not body:
                body, length = LAST_CHUNK, None
        head = request_head(call.method, call.target, call.host, headers, length)
        exchange = self._connections.open(peer.address, hand_over.request, call.method, False)
        exchange.read_deadline = deadline
        try:
            if on_open is not None:
                on_open(exchange)
            if awaits_reading:
                exchange.send_when_read(head, body)
            else:
                exchange.send(head, body)
        except BaseException:
            self._connections.close(exchange)
            raise
        self.peers.record_sent(peer)
        return exchange

    def read_head(self, exchange: Exchange) -> HandOverResult:
        """Read the response head.

        Raises:
            AttemptError: There is no response, it is not that of an instance to this request, or
                another instance may serve the request.
        """
        exchange.read_head()
        decoded = decode_result(exchange.header(RESULT_HEADER))
        if isinstance(decoded, Err):
            raise exchange.error(FailureCause.MALFORMED, decoded.err_value)
        result = decoded.ok_value
        if result.request != exchange.attempt_id:
            raise exchange.error(FailureCause.WRONG_RESPONSE, "response to another request")
        exchange.id_confirmed = True
        exchange.keep_alive_s = IDLE_S
        if result.refused in self._unable_reasons and result.verdict is Verdict.NOT_RUN:
            failure = AttemptFailure(FailureCause.NOT_RUN, Verdict.NOT_RUN, result.refused)
            raise AttemptError(failure)
        return result

    def close(self, peer: HandOverPeer, exchange: Exchange) -> None:
        """Release an exchange that `send` returned; call it once."""
        self.peers.record_end(peer)
        self._connections.close(exchange)

    def close_expired(self) -> None:
        """Close the idle connections that have expired."""
        self._connections.close_expired()
