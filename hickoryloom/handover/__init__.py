"""Requests that an instance hands over to another one, since it can't reach a service itself."""

from hickoryloom.handover.client import MAX_PEERS, HandOverClient
from hickoryloom.handover.messages import (
    HAND_OVER_HEADER,
    RESULT_HEADER,
    SIGNATURE_HEADER,
    HandOver,
    HandOverPeer,
    HandOverResult,
    ReceivedCall,
    decode_hand_over,
    decode_result,
    encode_hand_over,
    encode_result,
    without_hand_over_headers,
)
from hickoryloom.handover.peers import HandOverPeers
from hickoryloom.handover.receiver import HandOverReceiver, is_handed_over, read_call, read_unsigned
from hickoryloom.handover.signing import new_token, sign_call, verify_call

__all__ = [
    "HAND_OVER_HEADER",
    "MAX_PEERS",
    "RESULT_HEADER",
    "SIGNATURE_HEADER",
    "HandOver",
    "HandOverClient",
    "HandOverPeers",
    "HandOverReceiver",
    "HandOverResult",
    "HandOverPeer",
    "ReceivedCall",
    "decode_hand_over",
    "decode_result",
    "encode_hand_over",
    "encode_result",
    "is_handed_over",
    "new_token",
    "read_call",
    "read_unsigned",
    "sign_call",
    "verify_call",
    "without_hand_over_headers",
]
