"""Which requests are held back after backend servers ended, as several instances see them."""

import random

import pytest

from hickoryloom.evidence import InstanceRanking, SharedRecords
from hickoryloom.quarantine import (
    QUARANTINE_TOPICS,
    Quarantine,
    digest_request,
    part_keys,
    request_key,
)
from hickoryloom.quarantine.cut_off_requests import MAX_REQUESTS, CutOffRequests
from hickoryloom.quarantine.holds import FIRST_TRIAL_S
from hickoryloom.quarantine.state import SUSPICION_S, TIED_TRIAL_S
from hickoryloom.quarantine.tests.fleet import Fleet

BAD, OTHER = (request_key("app", digest_request("app", "GET", f"/{n}", "one", b"")) for n in "ab")
COMMON, SESSION = part_keys("app", ["c0", "5e"])


@pytest.fixture
def fleet():
    return Fleet()


def crash(fleet, number, first=0, request=BAD, **options):
    for index in range(first, first + number):
        fleet.cut_off(f"s{index}", request, by=index % 3, **options)


def test_a_request_that_ended_three_servers_is_held_back_at_all_instances(fleet):
    crash(fleet, 2)
    assert not fleet.holds_back((BAD,))
    crash(fleet, 1, first=2)
    assert fleet.holds_back((BAD,))
    assert not fleet.holds_back((OTHER,))
    assert fleet.members[1].requests == 1
    assert fleet.members[1].parts == 0


def test_at_most_three_more_sends_follow_the_third_end_in_the_next_minutes(fleet):
    rng = random.Random(33)
    crash(fleet, 3)
    sends, started_at = 0, fleet.now
    while fleet.now < started_at + 180.0:
        fleet.now += 0.4
        member = rng.choice(fleet.members)
        for _ in range(2):
            if member.wait_s((BAD,), fleet.now):
                member.record_refused((BAD,), fleet.now)
                continue
            member.record_sent((BAD,), fleet.now)
            sends += 1
            fleet.now += 0.1
            member.record_cut_off(f"t{sends}", BAD, fleet.now - 0.1, fleet.now)
        fleet.exchange()
    assert 1 <= sends <= 3


@pytest.mark.parametrize("after_s", [0.02, 0.4])
def test_the_attempts_of_one_call_count_as_ends_of_their_own(fleet, after_s):
    crash(fleet, 3, after_s=after_s, ran_s=after_s / 2)
    assert fleet.holds_back((BAD,))


def test_servers_that_end_at_once_make_no_request_the_cause(fleet):
    for index in range(8):
        fleet.cut_off(f"s{index}", BAD, OTHER, by=index % 3, after_s=0.01, ran_s=0.3)
    assert not fleet.holds_back((BAD,))


def test_a_request_that_is_answered_between_ends_is_not_held_back(fleet):
    for index in range(20):
        crash(fleet, 1, first=index, after_s=0.3)
        fleet.answer((BAD,), by=(index + 1) % 3)
        assert not fleet.holds_back((BAD,))


def test_a_request_that_was_cut_off_with_the_cause_is_tried_soon_and_released(fleet):
    for index in range(3):
        fleet.cut_off(f"s{index}", BAD, OTHER, by=index % 3)
    assert fleet.holds_back((OTHER,))
    fleet.now += TIED_TRIAL_S + 0.1
    able = [member for member in fleet.members if not member.wait_s((OTHER,), fleet.now)]
    assert len(able) == 1
    able[0].record_sent((OTHER,), fleet.now)
    fleet.answer((OTHER,))
    assert not fleet.holds_back((OTHER,))
    assert any(member.wait_s((BAD,), fleet.now) for member in fleet.members)


def test_a_request_that_is_the_only_suspect_is_tried_later(fleet):
    crash(fleet, 3)
    fleet.now += TIED_TRIAL_S + 1.0
    assert fleet.holds_back((BAD,))
    fleet.now += FIRST_TRIAL_S
    assert any(not member.wait_s((BAD,), fleet.now) for member in fleet.members)


def test_parts_of_a_request_that_is_the_cause_are_not_held_back(fleet):
    for index in range(12):
        fleet.now += 0.5
        member, sent_at = fleet.members[index % 3], fleet.now - 0.1
        member.record_cut_off(f"s{index}", BAD, sent_at, fleet.now)
        member.record_end(f"s{index}", (COMMON, SESSION), True, sent_at, fleet.now)
        fleet.exchange()
        assert not fleet.holds_back((COMMON,))
    assert fleet.holds_back((BAD, COMMON))


def test_a_part_of_many_requests_is_held_back_though_each_came_twice(fleet):
    for index in range(6):
        fleet.now += 0.5
        request = request_key("app", f"r{index // 2}")
        fleet.members[index % 3].record_cut_off(f"s{index}", request, fleet.now - 0.1, fleet.now)
        fleet.members[index % 3].record_end(
            f"s{index}", (COMMON,), True, fleet.now - 0.1, fleet.now
        )
        fleet.exchange()
    assert fleet.holds_back((COMMON,))


def test_a_request_that_comes_back_is_held_back_after_one_end(fleet):
    crash(fleet, 3)
    assert fleet.holds_back((BAD,))
    fleet.now += SUSPICION_S
    assert not fleet.holds_back((BAD,))
    crash(fleet, 1, first=9)
    assert fleet.holds_back((BAD,))


def test_an_instance_that_learns_of_the_ends_later_holds_the_request_back(fleet):
    crash(fleet, 3)
    fleet.holds_back((BAD,))
    records = SharedRecords("late", QUARANTINE_TOPICS)
    late = Quarantine("late", records, InstanceRanking("10.0.0.9:1"))
    records.merge(fleet._records[0].all(fleet.now), fleet.now)
    assert late.wait_s((BAD,), fleet.now) > 0


def test_digests_are_not_needed_two_minutes_after_the_last_cut_off(fleet):
    crash(fleet, 1)
    member = fleet.members[1]
    member.wait_s((), fleet.now)
    assert member.watches_requests
    fleet.now += SUSPICION_S + 1.0
    member.wait_s((), fleet.now)
    assert not member.watches_requests


def test_many_requests_that_one_server_cuts_off_fit_into_a_record(fleet):
    requests = [request_key("app", f"{index:08d}") for index in range(500)]
    fleet.cut_off("s0", *requests)
    assert len(fleet.members[1]._cut_off) == len(fleet.members[2]._cut_off) >= 40


def test_memory_is_bounded_with_a_million_requests():
    cut_off = CutOffRequests(SUSPICION_S)
    for index in range(50_000):
        now = index / 1_000
        cut_off.add(f"app/={index}", f"s{index % 50}", now, now)
        cut_off.add("app/=same", f"s{index % 50}", now, now)
        if index % 1_000 == 0:
            cut_off.find(now)
    assert len(cut_off) <= MAX_REQUESTS
    cut_off.expire(50.0 + SUSPICION_S)
    assert len(cut_off) == 0


@pytest.mark.parametrize(
    "changed",
    [
        {"service": "other"},
        {"method": "POST"},
        {"target": "/a?b=1"},
        {"caller": "two"},
        {"body": b"x"},
        {"part_ids": ("ab",)},
    ],
)
def test_requests_that_differ_have_other_digests(changed):
    same = {"service": "s", "method": "GET", "target": "/a", "caller": "one", "body": b""}
    assert digest_request(**same) == digest_request(**same)
    assert digest_request(**same) != digest_request(**{**same, **changed})
    assert len(digest_request(**{**same, "body": bytes(1_000_000)})) == 8
