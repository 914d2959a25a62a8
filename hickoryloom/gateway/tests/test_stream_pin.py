"""Streams that begin at another instance, in touch with it or not, as their pin knows them."""

import attrs
import pytest

from hickoryloom.catalog import RequestKind, Route, Target
from hickoryloom.gateway.app import ProxyApp
from hickoryloom.gateway.attempts import Attempts
from hickoryloom.gateway.budget import SharedRetryBudget
from hickoryloom.gateway.context import PeerAttempt
from hickoryloom.gateway.messages import CallerRequest
from hickoryloom.gateway.stream_pin import StreamPin
from hickoryloom.gateway.tests.test_forwarding import GatewayFake
from hickoryloom.handover import (
    HandOver,
    HandOverPeer,
    HandOverResult,
    decode_hand_over,
    decode_result,
)
from hickoryloom.handover.messages import encode_hand_over, encode_result
from hickoryloom.origins import Origin, origin_key
from hickoryloom.origins.messages import MAX_TEXT_CHARS
from hickoryloom.origins.tests.test_origins import NEW, OLD, Network
from hickoryloom.upstream import BufferBudget

ORIGIN = Origin("llm", NEW.id, "v2")
KEY = origin_key("one", "s1")


@pytest.fixture
def network():
    network = Network(7)
    network.list_servers(OLD, NEW)
    return network


def build_pin(member, **overrides):
    return StreamPin(member.origins, "one", "s1", "llm", True, **overrides)


def test_the_version_that_another_instance_tells_outlives_that_instance(network):
    first, second = network.members[:2]
    second.origins.record(KEY, NEW)
    pin = build_pin(first)
    pin.record_first_event_elsewhere(ORIGIN)
    network.down = {member.address for member in network.members[1:]}
    pin.find_origin(network.now)
    assert (pin.software, pin.is_lost) == ("v2", False)
    assert first.origins.find(KEY, "llm") == ORIGIN


def test_a_version_that_an_earlier_build_does_not_tell_is_asked_for(network):
    """Guards against streams that go on anywhere, or not at all, beside the version before."""
    first, second = network.members[:2]
    second.origins.record(KEY, NEW)
    pin = build_pin(first)
    pin.record_first_event_elsewhere(None)
    assert pin.is_lost
    network.down = {second.address}
    pin.find_origin(network.now)
    assert (pin.software, pin.is_lost) == ("v2", False)


def test_a_stream_whose_version_nobody_knows_goes_on_nowhere(network):
    pin = build_pin(network.members[0])
    pin.record_first_event_elsewhere(None)
    pin.find_origin(network.now)
    assert pin.is_lost


def test_an_old_view_of_one_version_does_not_show_that_any_server_will_do():
    """Guards against an instance that has missed the second version while it was suspended."""
    network = Network(2)
    network.list_servers(OLD)
    first, second = network.members
    pin = build_pin(first)
    pin.record_first_event_elsewhere(None)
    first.view_age_s = 2.0
    network.down = {second.address}
    pin.find_origin(network.now)
    assert pin.is_lost
    network.down = set()
    network.now += 1.0
    pin.find_origin(network.now)
    assert not pin.is_lost


def test_instances_are_asked_once_a_second(network):
    pin = build_pin(network.members[0])
    pin.record_first_event_elsewhere(None)
    for step in range(21):
        pin.find_origin(network.now + 0.1 * step)
    assert network.sent["Ask"] == 3 * 6


def test_a_stream_of_another_service_does_not_go_on_at_this_one(network):
    """Guards against an instance of the version before that draws another target of the route."""
    pin = build_pin(network.members[0])
    pin.record_first_event_elsewhere(Origin("other", "x", "v2"))
    assert pin.is_lost


def test_a_stream_that_is_taken_up_elsewhere_is_known_by_both_of_its_requests(network):
    pin = build_pin(network.members[0], begun_by="s0", origin=ORIGIN)
    pin.record_first_event_elsewhere(None)
    assert (pin.software, pin.is_lost) == ("v2", False)
    network.down = {member.address for member in network.members[1:]}
    assert network.members[0].origins.find(KEY, "llm") == ORIGIN


def test_a_taken_up_stream_for_which_any_server_would_do_waits_for_no_second_version():
    """Guards against a second version that appears before the first event."""
    network = Network(3)
    network.list_servers(OLD)
    pin = build_pin(network.members[0], begun_by="s0", origin=Origin("llm", "", ""))
    assert not pin.is_lost
    network.list_servers(OLD, NEW)
    assert pin.is_lost


def test_messages_of_earlier_and_later_builds_are_read():
    earlier = (
        '{"sender":"a","request":"r","elapsed_s":0.1,"sends":1,"resume_after":3,"resumes":"q"}'
    )
    assert decode_hand_over(earlier).ok_value == HandOver("a", "r", 0.1, 1, 3, "q")
    later = earlier[:-1] + ',"origin":{"service":"s","server":"b","software":"v","x":1},"y":2}'
    assert decode_hand_over(later).ok_value.origin == Origin("s", "b", "v")
    assert decode_result('{"request":"r","refused":""}').ok_value.origin is None
    result = HandOverResult("r", origin=ORIGIN)
    assert decode_result(encode_result(result)).ok_value == result


def test_origins_with_long_texts_are_not_read():
    long = Origin("s", "b", "v" * (MAX_TEXT_CHARS + 1))
    assert decode_hand_over(encode_hand_over(HandOver("a", "r", 0.0, origin=long))).is_err()
    assert decode_result(encode_result(HandOverResult("r", origin=long))).is_err()


@pytest.mark.parametrize("retries", [0.0, 2.0])
def test_a_stream_leaves_a_silent_instance_only_if_it_may_be_sent_again(retries):
    """Guards against streams that are broken off although the other instance may still go on."""
    fake = GatewayFake([])
    budget = SharedRetryBudget(0.0, retries, 10.0, 1)
    context = attrs.evolve(fake.context, retries=lambda service: budget)
    targets = (Target("s"),)
    route = Route(
        "r", "h", "/", RequestKind.STREAM, 4.0, 0.4, targets, max_attempts=3, resumable=True
    )
    request = CallerRequest("s1", "POST", "/x", "h", (), b"", caller_timeout_s=4.0)
    attempts = Attempts(context, request, route, "s", None, 100.0)
    attempt = PeerAttempt(HandOverPeer("10.0.0.2:1", "d", ""), "s", None, 100.0)
    assert attempts.may_move(attempt) == bool(retries)


@pytest.mark.parametrize("kind", RequestKind)
def test_a_request_goes_to_the_service_that_its_sender_has_chosen(kind):
    """Guards against a stream that the receiver begins at another target of the route."""
    fake = GatewayFake([])
    app = ProxyApp(fake.context, None, None)
    route = Route("r", "h", "/", kind, 4.0, 0.4, (Target("a", 9), Target("b", 1)))
    request = CallerRequest("s1", "POST", "/x", "h", (), b"", caller_timeout_s=4.0)
    for service in ("a", "b"):
        hand_over = HandOver("edge-2", "s1", 0.0, service=service)
        for _ in range(20):
            forwarder = app._build_forwarder(
                request, route, None, 100.0, None, hand_over, BufferBudget().hold()
            )
            assert forwarder._attempts._placement_request.service == service
