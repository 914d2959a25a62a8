"""Which prompts are held back after backend servers ended, as several instances see them."""

import pytest

from hickoryloom.evidence import InstanceRanking, SharedRecords
from hickoryloom.quarantine import QUARANTINE_TOPICS, Quarantine, part_keys
from hickoryloom.quarantine.holds import FIRST_TRIAL_S, QUIET_S
from hickoryloom.quarantine.state import SUSPICION_S
from hickoryloom.quarantine.tests.fleet import Fleet

COMMON, SESSION, BAD = part_keys("llm", ["c0", "5e", "bad"])
PROMPT = (COMMON, SESSION, BAD)


@pytest.fixture
def fleet():
    return Fleet()


def crash(fleet, first, number, prompt=PROMPT):
    for index in range(first, first + number):
        fleet.end(f"s{index}", prompt, by=index % 3)
        fleet.answer((COMMON, SESSION), by=(index + 1) % 3)


def test_a_part_under_which_servers_crash_is_held_back_at_all_instances(fleet):
    crash(fleet, 0, 2)
    assert not fleet.holds_back(PROMPT)
    crash(fleet, 2, 1)
    assert fleet.holds_back(PROMPT)
    assert fleet.holds_back((BAD,))
    assert not fleet.holds_back((COMMON, SESSION))


@pytest.mark.parametrize("prompt", [(BAD, COMMON, SESSION), (COMMON, BAD, SESSION)])
def test_the_position_of_the_part_does_not_matter(fleet, prompt):
    crash(fleet, 0, 3, prompt)
    assert fleet.holds_back((BAD,))
    assert not fleet.holds_back((COMMON, SESSION))


def test_prompts_that_were_running_on_the_servers_are_not_held_back(fleet):
    for index in range(4):
        fleet.end(f"s{index}", PROMPT, by=0)
        fleet.end(f"s{index}", (COMMON, f"llm/0{index}"), by=1, responding=False, after_s=0.0)
        fleet.answer((COMMON, SESSION))
    assert fleet.holds_back(PROMPT)
    assert not any(fleet.holds_back((COMMON, f"llm/0{index}")) for index in range(4))


def test_a_rare_session_that_was_waiting_at_each_server_is_not_held_back(fleet):
    rare = (COMMON, "llm/ee")
    for index in range(4):
        fleet.end(f"s{index}", rare, by=1, responding=False)
        fleet.end(f"s{index}", PROMPT, by=0, after_s=0.0)
        fleet.answer((COMMON, SESSION))
    assert not fleet.holds_back(rare)
    assert fleet.holds_back(PROMPT)


def test_servers_that_end_at_once_make_no_part_the_cause(fleet):
    for index in range(8):
        fleet.end(f"s{index}", PROMPT, (COMMON, "llm/ab"), by=index % 3, after_s=0.01)
    assert not fleet.holds_back(PROMPT)


def test_one_request_that_ends_one_server_after_the_other_is_held_back(fleet):
    for index in range(5):
        fleet.end(f"s{index}", PROMPT, after_s=0.01, ran_s=0.005)
    assert fleet.holds_back(PROMPT)


def test_one_server_that_cuts_off_again_and_again_makes_no_part_the_cause(fleet):
    for _ in range(10):
        fleet.end("s0", PROMPT)
    assert not fleet.holds_back(PROMPT)


def test_two_parts_that_always_come_together_need_two_more_ends(fleet):
    pair = (COMMON, "llm/b1", "llm/b2")
    for index in range(4):
        fleet.end(f"s{index}", pair)
        fleet.answer((COMMON,))
    assert not fleet.holds_back(pair)
    fleet.end("s4", pair)
    fleet.answer((COMMON,))
    assert fleet.holds_back(pair)
    assert fleet.holds_back(("llm/b1",))


@pytest.mark.parametrize("pause_s", [0.1, 0.35, 0.9])
def test_a_part_that_is_answered_after_each_end_is_not_held_back(fleet, pause_s):
    for index in range(20):
        fleet.end(f"s{index}", (COMMON,), by=index % 3, after_s=pause_s)
        assert not fleet.holds_back((COMMON,))
        for by in range(3):
            fleet.answer((COMMON,), by)


def test_a_part_that_is_answered_between_the_first_two_of_three_lost_answers_is_not_held_back(
    fleet,
):
    fleet.end("s0", (COMMON, "llm/01"), responding=False)
    for number in range(12):
        fleet.answer((COMMON, f"llm/a{number}"), by=number % 3, after_s=0.05)
    fleet.end("s1", (COMMON, "llm/02"), by=1, responding=False, after_s=0.04)
    fleet.end("s2", (COMMON, "llm/03"), by=2, responding=False, after_s=0.11, ran_s=0.07)
    assert not fleet.holds_back((COMMON,))


def test_a_part_whose_answer_arrives_before_the_end_is_acquitted(fleet):
    for index in range(3):
        fleet.end(f"s{index}", (COMMON,), after_s=0.4)
        fleet.answer((COMMON,), by=1)
    fleet.now += 0.3
    for index in range(3, 6):
        ended_at = fleet.now
        fleet.now += 0.1
        fleet.members[1].record_answer((COMMON,), fleet.now)
        fleet.members[0].record_end(f"s{index}", (COMMON,), True, ended_at - 0.05, ended_at)
        fleet.exchange()
        assert not fleet.holds_back((COMMON,))
        fleet.now += 0.3


def test_all_prompts_of_a_customer_can_have_the_part(fleet):
    prompts = [(BAD, f"llm/{index:02}") for index in range(5)]
    for index, prompt in enumerate(prompts):
        fleet.end(f"s{index}", prompt, by=index % 3)
    assert fleet.holds_back((BAD, "llm/99"))
    assert not fleet.holds_back(("llm/01",))


def test_an_answer_ends_the_quarantine_at_all_instances(fleet):
    for index in range(5):
        fleet.end(f"s{index}", (SESSION, BAD))
    assert fleet.holds_back((SESSION,))
    fleet.refuse((SESSION, BAD), by=1)
    fleet.answer((SESSION,), by=2)
    assert not fleet.holds_back((SESSION,))
    assert fleet.holds_back((BAD,))


def test_the_quarantine_lasts_while_such_prompts_come_and_ends_afterwards(fleet):
    crash(fleet, 0, 3)
    for _ in range(20):
        fleet.now += QUIET_S / 2
        if fleet.members[0].wait_s(PROMPT, fleet.now):
            fleet.refuse(PROMPT)
        else:
            fleet.members[0].record_sent(PROMPT, fleet.now)
            fleet.exchange()
        assert any(member.wait_s(PROMPT, fleet.now) > 0 for member in fleet.members)
    fleet.now += QUIET_S + 1
    assert not fleet.holds_back(PROMPT)


def test_a_part_that_comes_back_is_held_back_after_one_end_and_for_longer(fleet):
    crash(fleet, 0, 3)
    assert fleet.holds_back(PROMPT)
    fleet.now += QUIET_S + SUSPICION_S
    assert not fleet.holds_back(PROMPT)
    fleet.end("s9", PROMPT)
    assert fleet.holds_back(PROMPT)
    fleet.now += FIRST_TRIAL_S + 15.0
    fleet.members[0].record_sent(PROMPT, fleet.now)
    fleet.exchange()
    fleet.now += 1.5 * QUIET_S
    assert fleet.holds_back(PROMPT)


@pytest.mark.parametrize("number", [3, 7, 50])
def test_one_instance_at_a_time_makes_a_trial(number):
    fleet = Fleet(number)
    crash(fleet, 0, 3)
    assert fleet.holds_back(PROMPT)
    trials, started_at = [], fleet.now
    while fleet.now < started_at + 10 * FIRST_TRIAL_S:
        fleet.now += 0.5
        for member in fleet.members[:: max(1, number // 7)]:
            if member.wait_s(PROMPT, fleet.now) > 0:
                member.record_refused(PROMPT, fleet.now)
            else:
                member.record_sent(PROMPT, fleet.now)
                trials.append(fleet.now)
            fleet.exchange()
    assert len(trials) == 1
    assert trials[0] >= started_at + FIRST_TRIAL_S


def test_an_instance_that_knows_no_others_makes_no_trial():
    alone = Quarantine("i", SharedRecords("p", QUARANTINE_TOPICS), InstanceRanking("a:1"))
    for index in range(5):
        alone.record_end(f"s{index}", (BAD,), True, 9.5 + index, 10.0 + index)
    for second in range(16, 600):
        assert alone.wait_s((BAD,), second) > 0
        alone.record_refused((BAD,), second)


def test_parts_of_other_services_and_prompts_without_parts_are_not_touched(fleet):
    crash(fleet, 0, 3)
    assert not fleet.holds_back(part_keys("other", ["bad"]))
    assert not fleet.holds_back(())
    fleet.end("s9", ())


def test_memory_is_bounded_with_a_million_parts(fleet):
    member = fleet.members[0]
    for index in range(400):
        fleet.now += 0.3
        parts = part_keys("llm", (f"{index:x}{part:04x}" for part in range(300)))
        member.record_end(f"s{index}", parts, True, fleet.now, fleet.now)
        member.wait_s(parts, fleet.now)
        fleet._records[0].take_changes()
    assert len(member._ends) <= 301
    assert len(member._unanswered) <= 1_000
    assert member.parts == 0
