"""When an instance takes a service for unreachable, and what the others learn of it."""

from hickoryloom.evidence import SharedRecords
from hickoryloom.reach import REACH_TOPICS, Reach

SERVERS = 5


def build_reach(address="a:1"):
    records = SharedRecords(address, REACH_TOPICS)
    return Reach(address, records), records


def pass_on(source, target, now):
    target.merge(source.all(now), now)


def test_one_server_that_refuses_connections_is_down_itself():
    reach, _ = build_reach()
    for number in range(10):
        reach.record_unreachable("s", "b1", SERVERS, float(number))
    assert not reach.is_cut_off("s")


def test_several_servers_without_a_response_in_between_show_a_cut():
    reach, _ = build_reach()
    reach.record_unreachable("s", "b1", SERVERS, 1.0)
    reach.record_unreachable("s", "b2", SERVERS, 1.4)
    assert reach.is_cut_off("s")
    assert not reach.is_cut_off("other")


def test_a_response_in_between_shows_that_servers_are_down():
    reach, _ = build_reach()
    reach.record_unreachable("s", "b1", SERVERS, 1.0)
    reach.record_contact("s", 1.1, 1.2)
    reach.record_unreachable("s", "b2", SERVERS, 1.4)
    assert not reach.is_cut_off("s")


def test_a_response_to_a_request_sent_before_the_cut_shows_nothing():
    reach, _ = build_reach()
    reach.record_unreachable("s", "b1", SERVERS, 1.0)
    reach.record_contact("s", 0.9, 1.2)
    reach.record_unreachable("s", "b2", SERVERS, 1.4)
    assert reach.is_cut_off("s")


def test_the_only_server_of_a_service_is_enough():
    reach, _ = build_reach()
    reach.record_unreachable("s", "b1", 1, 1.0)
    assert reach.is_cut_off("s")


def test_a_new_connection_ends_the_cut():
    reach, _ = build_reach()
    reach.record_unreachable("s", "b1", SERVERS, 1.0)
    reach.record_unreachable("s", "b2", SERVERS, 1.0)
    reach.record_contact("s", 5.0, 5.1)
    assert not reach.is_cut_off("s")
    reach.record_unreachable("s", "b3", SERVERS, 5.2)
    assert not reach.is_cut_off("s")


def test_other_instances_learn_of_the_cut_and_of_its_end():
    reach, records = build_reach()
    other, other_records = build_reach("b:1")
    reach.record_unreachable("s", "b1", SERVERS, 1.0)
    reach.record_unreachable("s", "b2", SERVERS, 1.0)
    pass_on(records, other_records, 1.1)
    assert other.is_cut_off_at("a:1", "s", 1.1)
    assert not other.is_cut_off("s")
    reach.record_contact("s", 2.0, 2.1)
    pass_on(records, other_records, 2.2)
    assert not other.is_cut_off_at("a:1", "s", 2.2)


def test_the_cut_is_told_again_while_it_lasts_and_forgotten_when_its_instance_is_gone():
    reach, records = build_reach()
    other, other_records = build_reach("b:1")
    reach.record_unreachable("s", "b1", SERVERS, 1.0)
    reach.record_unreachable("s", "b2", SERVERS, 1.0)
    for second in range(2, 21):
        reach.refresh(float(second))
        pass_on(records, other_records, float(second))
    assert other.is_cut_off_at("a:1", "s", 20.0)
    assert not other.is_cut_off_at("a:1", "s", 30.0)
