"""Signatures and headers of requests that are handed over."""

import attrs
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.handover import (
    HandOver,
    HandOverResult,
    ReceivedCall,
    decode_hand_over,
    decode_result,
    encode_hand_over,
    encode_result,
    new_token,
    sign_call,
    verify_call,
)
from hickoryloom.verdict import Verdict

CALL = ReceivedCall("POST", "/a?b", "h.example", (("x-api-key", "k"), ("n", "1")), b"body")
HAND_OVER = encode_hand_over(HandOver("edge-1", "id", 0.25, 1, 7, "first"))


def test_a_signature_holds_for_one_receiver_and_one_call():
    token = new_token()
    signature = sign_call(token, "a:1", HAND_OVER, CALL)
    assert verify_call(signature, token, "a:1", HAND_OVER, CALL)
    assert not verify_call(signature, new_token(), "a:1", HAND_OVER, CALL)
    assert not verify_call(signature, token, "a:2", HAND_OVER, CALL)
    assert not verify_call(signature, token, "a:1", HAND_OVER.replace("0.25", "0.35"), CALL)
    for field, other in {
        "method": "GET",
        "target": "/a",
        "host": "o.example",
        "headers": (("x-api-key", "other"), ("n", "1")),
        "body": b"body2",
    }.items():
        changed = attrs.evolve(CALL, **{field: other})
        assert not verify_call(signature, token, "a:1", HAND_OVER, changed), field


def test_headers_are_decoded_as_they_were_encoded():
    assert decode_hand_over(HAND_OVER).ok_value == HandOver("edge-1", "id", 0.25, 1, 7, "first")
    result = HandOverResult("id", "unreachable", Verdict.NOT_RUN)
    assert decode_result(encode_result(result)).ok_value == result


@given(st.text() | st.sampled_from(('{"sender":"e","request":"r","elapsed_s":-1}', "[]", "1e999")))
def test_a_malformed_header_is_an_error(value):
    assert decode_hand_over(value).is_err()
