from collections import Counter
from random import Random

import attrs

from hickoryloom.discovery import BackendServer
from hickoryloom.placing import Ending, Placer, PromptPart, ReportedLoad, Work
from hickoryloom.placing.tracked import FAILURES_TO_PAUSE


def servers(count, service="llm", slots=64):
    return [
        BackendServer(
            f"{service}-{n}", service, f"10.0.0.{n}:80", "abc"[n % 3], slots, started_ms=1
        )
        for n in range(count)
    ]


def placer(found, seed=1):
    made = Placer("a", Random(seed))
    made.set_servers(found)
    return made


def work(session, own=2_900, shared=6_300):
    return Work(
        "llm", own + shared, (PromptPart("head", 2_500), PromptPart(session, shared - 2_500))
    )


def test_all_instances_send_a_session_to_the_same_engine():
    found = servers(9)
    chosen = {
        placer(found, seed).choose(work("s1"), frozenset(), 0.0).server.id for seed in range(20)
    }
    assert len(chosen) == 1


def test_sessions_spread_over_engines():
    one = placer(servers(9))
    counts = Counter(one.choose(work(f"s{n}"), frozenset(), 0.0).server.id for n in range(900))
    assert len(counts) == 9
    assert max(counts.values()) < 150


def test_most_sessions_stay_when_an_engine_leaves():
    found = servers(9)
    before = {
        n: placer(found).choose(work(f"s{n}"), frozenset(), 0.0).server.id for n in range(300)
    }
    leaving = [attrs.evolve(found[0], leaving=True), *found[1:]]
    after = placer(leaving)
    moved = sum(
        after.choose(work(f"s{n}"), frozenset(), 0.0).server.id != id
        for n, id in before.items()
        if id != found[0].id
    )
    assert moved == 0


def test_a_burst_on_one_session_spills_to_other_engines():
    one = placer(servers(9))
    chosen = Counter()
    for _ in range(60):
        placement = one.choose(work("hot"), frozenset(), 0.0)
        one.started(placement, work("hot"), 0.0)
        chosen[placement.server.id] += 1
    assert len(chosen) >= 6
    assert max(chosen.values()) <= 15


def test_leaving_and_excluded_servers_get_nothing():
    found = servers(3)
    one = placer([attrs.evolve(found[0], leaving=True), *found[1:]])
    for n in range(50):
        placement = one.choose(work(f"s{n}"), frozenset([found[1].id]), 0.0)
        assert placement.server.id == found[2].id
    assert one.choose(work("s"), frozenset([found[1].id, found[2].id]), 0.0) is None


def test_a_server_that_can_not_be_reached_is_passed_over_for_a_while():
    found = servers(2, "app", 6)
    one = placer(found)
    plain = Work("app")
    placement = one.choose(plain, frozenset(), 0.0)
    one.started(placement, plain, 0.0)
    one.finished(placement, plain, Ending.UNREACHABLE, False, 0.0)
    later = {one.choose(plain, frozenset(), 0.2).server.id for _ in range(20)}
    assert later == {server.id for server in found} - {placement.server.id}


def test_failures_in_a_row_pause_a_server_and_a_success_forgives():
    found = servers(2, "app", 6)
    one = placer(found)
    plain = Work("app")
    only_second = frozenset([found[1].id])
    for _ in range(FAILURES_TO_PAUSE):
        placement = one.choose(plain, only_second, 0.0)
        one.started(placement, plain, 0.0)
        one.finished(placement, plain, Ending.FAILED, False, 0.0)
    assert {one.choose(plain, frozenset(), 0.1).server.id for _ in range(20)} == {found[1].id}
    placement = one.choose(plain, only_second, 5.0)
    one.started(placement, plain, 0.0)
    one.finished(placement, plain, Ending.DONE, False, 5.0)
    assert len({one.choose(plain, frozenset(), 5.0).server.id for _ in range(200)}) >= 1


def test_plain_requests_go_to_the_server_with_free_slots():
    found = servers(3, "app", 6)
    one = placer(found)
    for server in found[:2]:
        one.report(server.id, ReportedLoad(6, 4, 6), 0.0)
    chosen = {one.choose(Work("app"), frozenset(), 0.05).server.id for _ in range(30)}
    assert chosen == {found[2].id}


def short(session):
    return Work("llm", 700, (PromptPart("small", 120), PromptPart(session, 80)))


def test_few_streams_of_short_prompts_run_where_a_long_prompt_is_read():
    """Plays a mix of long prompts and short streams, and counts the streams held up by them."""
    one = placer(servers(9))
    now, running, held_up, streams = 0.0, [], set(), 0
    for n in range(1_200):
        now += 0.03
        for ended in [entry for entry in running if entry[0] <= now]:
            running.remove(ended)
            one.finished(ended[1], ended[2], Ending.DONE, True, now)
        wanted = work(f"s{n % 90}") if n % 2 else short(f"t{n % 40}")
        placement = one.choose(wanted, frozenset(), now)
        one.started(placement, wanted, now)
        one.first_token(placement, 0.05)
        running.append((now + (0.4 if n % 2 else 1.7), placement, wanted, n))
        if n % 2:
            beside = [entry for entry in running if entry[1].server.id == placement.server.id]
            held_up.update(entry[3] for entry in beside if entry[2].prompt_tokens < 1_000)
        else:
            streams += 1
    assert len(held_up) < 0.1 * streams


def test_long_prompts_alone_use_all_engines():
    one = placer(servers(9))
    used = set()
    for n in range(300):
        placement = one.choose(work(f"s{n}"), frozenset(), 0.0)
        one.started(placement, work(f"s{n}"), 0.0)
        used.add(placement.server.id)
    assert len(used) == 9
