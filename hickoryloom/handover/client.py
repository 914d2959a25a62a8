"""Sends requests to other instances."""

from __future__ import annotations

from hickoryloom.handover.messages import (
    HAND_OVER_HEADER,
    RESULT_HEADER,
    SIGNATURE_HEADER,
    HandOver,
    HandOverResult,
    Peer,
    ReceivedCall,
    decode_result,
    encode_hand_over,
    without_hand_over_headers,
)
from hickoryloom.handover.peers import HandOverPeers
from hickoryloom.handover.signing import sign_call
from hickoryloom.upstream import (
    ConnectionPool,
    Exchange,
    FailureCause,
    end_to_end_headers,
    request_head,
)

__all__ = ["HandOverClient"]


class HandOverClient:
    """Hands requests over to other instances.

    Attributes:
        peers: The other instances.

    Args:
        peers: The other instances.
        connections: Connections to them.
    """

    def __init__(self, peers: HandOverPeers, connections: ConnectionPool) -> None:
        self.peers = peers
        self._connections = connections

    def send(
        self, peer: Peer, call: ReceivedCall, hand_over: HandOver, deadline: float
    ) -> Exchange:
        """Send a request; the response can be read from the exchange.

        Args:
            peer: The other instance.
            call: The caller's request.
            hand_over: What accompanies it.
            deadline: Monotonic time at which reading the response times out, in seconds.

        Raises:
            AttemptError: The connection failed; part of the request may have been sent.
        """
        headers = without_hand_over_headers(end_to_end_headers(call.headers))
        value = encode_hand_over(hand_over)
        signature = sign_call(
            peer.token,
            peer.address,
            value,
            ReceivedCall(call.method, call.target, call.host, headers, call.body),
        )
        sent = (*headers, (HAND_OVER_HEADER, value), (SIGNATURE_HEADER, signature))
        head = request_head(call.method, call.target, call.host, sent, len(call.body))
        exchange = self._connections.open(peer.address, hand_over.request, call.method, False)
        exchange.read_deadline = deadline
        try:
            exchange.send(head, call.body)
        except BaseException:
            self._connections.close(exchange)
            raise
        self.peers.record_sent(peer)
        return exchange

    def read_head(self, exchange: Exchange) -> HandOverResult:
        """Read the response head.

        Raises:
            AttemptError: There is no response, or it is not that of an instance to this request.
        """
        exchange.read_head()
        result = decode_result(exchange.header(RESULT_HEADER)).map_err(
            lambda error: exchange.error(FailureCause.MALFORMED, error)
        )
        if result.is_err():
            raise result.unwrap_err()
        if result.unwrap().request != exchange.attempt_id:
            raise exchange.error(FailureCause.WRONG_RESPONSE, "response to another request")
        exchange.id_confirmed = True
        return result.unwrap()

    def close(self, peer: Peer, exchange: Exchange) -> None:
        """Release an exchange that `send` returned; call it once."""
        self.peers.record_end(peer)
        self._connections.close(exchange)

    def close_expired(self) -> None:
        """Close the idle connections that have expired."""
        self._connections.close_expired()
