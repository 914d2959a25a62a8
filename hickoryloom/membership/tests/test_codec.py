"""Heartbeat messages survive a JSON round trip, and any other JSON is rejected."""

import json

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.membership.codec import HeartbeatMessage, decode_message, encode_message
from hickoryloom.membership.messages import Heartbeat, PoolSummary

counts = st.integers(0, 10**6)
by_tier = st.dictionaries(st.integers(1, 9), st.integers(1, 10**6), max_size=5)
summaries = st.builds(
    PoolSummary,
    in_flight=counts,
    backlog=by_tier,
    highest_waiting=counts,
    pressure=counts,
    epoch=counts,
    demand=by_tier,
)
heartbeats = st.builds(
    Heartbeat,
    incarnation=st.text(min_size=1, max_size=20),
    address=st.text(max_size=20),
    failure_domain=st.text(max_size=10),
    generation=counts,
    revision=counts,
    platform_age_s=st.floats(0, 1e6),
    pools=st.dictionaries(st.text(max_size=10), summaries, max_size=3),
    leaving=st.lists(st.text(max_size=8), max_size=3).map(tuple),
    stopping=st.booleans(),
    sequence=counts,
    seen=st.dictionaries(st.text(max_size=8), counts, max_size=2),
)
messages = st.builds(
    HeartbeatMessage, heartbeat=heartbeats, known=st.dictionaries(st.text(), st.text())
)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=9), inner),
)


@given(messages)
def test_a_message_survives_a_json_round_trip(message):
    assert decode_message(json.loads(json.dumps(encode_message(message)))).unwrap() == message


@given(values, st.sampled_from(["heartbeat", "known", "x"]))
def test_any_other_json_is_rejected_and_never_raises(value, name):
    assert decode_message(value).is_err()
    assert decode_message({name: value}).is_err()
