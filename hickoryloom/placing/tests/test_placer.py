import heapq
from collections import Counter
from random import Random

import attrs

from hickoryloom.discovery import BackendServer
from hickoryloom.placing import (
    PlacementOutcome,
    PlacementRequest,
    Placer,
    PromptSegment,
    ReportedLoad,
)
from hickoryloom.placing.short_prompts import LONG_PROMPT_MEMORY_S
from hickoryloom.placing.tracked import FAILURES_TO_PAUSE


def servers(count, service="llm", slots=64):
    return [
        BackendServer(
            f"{service}-{n}", service, f"10.0.0.{n}:80", "abc"[n % 3], slots, started_ms=1
        )
        for n in range(count)
    ]


def build_placer(backends, seed=1):
    placer = Placer("a", Random(seed))
    placer.set_servers(backends)
    return placer


def prompt_request(session, own=2_900, shared=6_300):
    return PlacementRequest(
        "llm", own + shared, (PromptSegment("head", 2_500), PromptSegment(session, shared - 2_500))
    )


def test_all_instances_send_a_session_to_the_same_engine():
    backends = servers(9)
    chosen = {
        build_placer(backends, seed).choose(prompt_request("s1"), frozenset(), 0.0).server.id
        for seed in range(20)
    }
    assert len(chosen) == 1


def test_sessions_spread_over_engines():
    placer = build_placer(servers(9))
    counts = Counter(
        placer.choose(prompt_request(f"s{n}"), frozenset(), 0.0).server.id for n in range(900)
    )
    assert len(counts) == 9
    assert max(counts.values()) < 150


def test_sessions_of_other_engines_stay_when_an_engine_leaves():
    backends = servers(9)
    before = {
        n: build_placer(backends).choose(prompt_request(f"s{n}"), frozenset(), 0.0).server.id
        for n in range(300)
    }
    leaving = [attrs.evolve(backends[0], leaving=True), *backends[1:]]
    after = build_placer(leaving)
    moved = sum(
        after.choose(prompt_request(f"s{n}"), frozenset(), 0.0).server.id != id
        for n, id in before.items()
        if id != backends[0].id
    )
    assert moved == 0


def test_a_burst_on_one_session_spills_to_other_engines():
    placer = build_placer(servers(9))
    chosen = Counter()
    for _ in range(60):
        placement = placer.choose(prompt_request("hot"), frozenset(), 0.0)
        placer.start_attempt(placement, prompt_request("hot"), 0.0)
        chosen[placement.server.id] += 1
    assert len(chosen) >= 6
    assert max(chosen.values()) <= 15


def test_leaving_and_excluded_servers_get_no_requests():
    backends = servers(3)
    placer = build_placer([attrs.evolve(backends[0], leaving=True), *backends[1:]])
    for n in range(50):
        placement = placer.choose(prompt_request(f"s{n}"), frozenset([backends[1].id]), 0.0)
        assert placement.server.id == backends[2].id
    assert (
        placer.choose(prompt_request("s"), frozenset([backends[1].id, backends[2].id]), 0.0) is None
    )


def test_an_unreachable_server_is_paused():
    backends = servers(2, "app", 6)
    placer = build_placer(backends)
    plain = PlacementRequest("app")
    placement = placer.choose(plain, frozenset(), 0.0)
    placer.start_attempt(placement, plain, 0.0)
    placer.finish_attempt(placement, plain, PlacementOutcome.UNREACHABLE, False, 0.0)
    later = {placer.choose(plain, frozenset(), 0.2).server.id for _ in range(20)}
    assert later == {server.id for server in backends} - {placement.server.id}


def test_consecutive_failures_pause_a_server_until_a_success():
    backends = servers(2, "app", 6)
    placer = build_placer(backends)
    plain = PlacementRequest("app")
    excluded = frozenset([backends[1].id])
    for _ in range(FAILURES_TO_PAUSE):
        placement = placer.choose(plain, excluded, 0.0)
        placer.start_attempt(placement, plain, 0.0)
        placer.finish_attempt(placement, plain, PlacementOutcome.FAILED, False, 0.0)
    full = ReportedLoad(6, 6, 6)
    placer.apply_load_report(backends[1].id, full, 0.1)
    assert {placer.choose(plain, frozenset(), 0.1).server.id for _ in range(20)} == {backends[1].id}
    placement = placer.choose(plain, excluded, 5.0)
    placer.start_attempt(placement, plain, 5.0)
    placer.finish_attempt(placement, plain, PlacementOutcome.DONE, False, 5.0)
    placer.apply_load_report(backends[1].id, full, 5.0)
    assert {placer.choose(plain, frozenset(), 5.0).server.id for _ in range(20)} == {backends[0].id}


def test_plain_requests_go_to_the_server_with_free_slots():
    backends = servers(3, "app", 6)
    placer = build_placer(backends)
    for server in backends[:2]:
        placer.apply_load_report(server.id, ReportedLoad(6, 4, 6), 0.0)
    chosen = {
        placer.choose(PlacementRequest("app"), frozenset(), 0.05).server.id for _ in range(30)
    }
    assert chosen == {backends[2].id}


def short(session):
    return PlacementRequest("llm", 700, (PromptSegment("small", 120), PromptSegment(session, 80)))


def test_few_streams_of_short_prompts_share_an_engine_with_long_prompts():
    """Replays a mix of long and short prompts and counts the short streams that are stalled."""
    placer = build_placer(servers(9))
    now, running, stalled, streams = 0.0, [], set(), 0
    for n in range(1_200):
        now += 0.03
        for ended in [attempt for attempt in running if attempt[0] <= now]:
            running.remove(ended)
            placer.finish_attempt(ended[1], ended[2], PlacementOutcome.DONE, True, now)
        request = prompt_request(f"s{n % 90}") if n % 2 else short(f"t{n % 40}")
        placement = placer.choose(request, frozenset(), now)
        placer.start_attempt(placement, request, now)
        placer.record_first_token(placement, 0.05)
        running.append((now + (0.4 if n % 2 else 1.7), placement, request, n))
        if n % 2:
            beside = [attempt for attempt in running if attempt[1].server.id == placement.server.id]
            stalled.update(attempt[3] for attempt in beside if attempt[2].prompt_tokens < 1_000)
        else:
            streams += 1
    assert len(stalled) < 0.1 * streams


def test_long_prompts_alone_use_all_engines():
    placer = build_placer(servers(9))
    used = set()
    for n in range(300):
        placement = placer.choose(prompt_request(f"s{n}"), frozenset(), 0.0)
        placer.start_attempt(placement, prompt_request(f"s{n}"), 0.0)
        used.add(placement.server.id)
    assert len(used) == 9


def test_engines_reserved_for_short_prompts_are_released_when_long_prompts_stop():
    placer = build_placer(servers(9))
    long_request = prompt_request("s")
    placement = placer.choose(long_request, frozenset(), 0.0)
    placer.start_attempt(placement, long_request, 0.0)
    engines = [(server.id, server.slots) for server in servers(9)]
    reserved = placer._short_prompt_engines("llm")
    assert reserved.select(engines, 1.0)
    placer.finish_attempt(placement, long_request, PlacementOutcome.DONE, True, 1.0)
    assert not reserved.select(engines, LONG_PROMPT_MEMORY_S + 1.0)


def play_thin_traffic(share_loads):
    """Play a large fleet in which each instance sends less than two requests per second.

    195 instances send 72 short streams of 1.6 s and 172 long prompts per second to 62 engines of
    16 slots. Returns the fraction of long prompts that land on an engine with a short stream.
    """
    random = Random(5)
    backends = servers(62, slots=16)
    placers = [build_placer(backends, seed) for seed in range(195)]
    for placer in placers:
        placer.set_instances(195)
    now, running, stalling, prompts = 0.0, [], 0, 0
    next_share = 0.0
    while now < 12.0:
        now += random.expovariate(244.0)
        while running and running[0][0] <= now:
            _, _, placer, placement, request = heapq.heappop(running)
            placer.finish_attempt(placement, request, PlacementOutcome.DONE, True, now)
        if share_loads and now >= next_share:
            next_share = now + 0.9
            for first in range(0, 195, 20):
                group = placers[first : first + 20]
                loads = [placer.short_prompt_load(now).get("llm", 0.0) for placer in group]
                for placer in group:
                    placer.set_mean_short_prompt_load({"llm": sum(loads) / len(loads)}, now)
        placer = random.choice(placers)
        is_short = random.random() < 72 / 244
        name = f"s{random.randrange(600)}"
        request = short(name) if is_short else prompt_request(name)
        placement = placer.choose(request, frozenset(), now)
        placer.start_attempt(placement, request, now)
        placer.record_first_token(placement, 0.05)
        duration_s = 1.6 if is_short else 0.4
        heapq.heappush(running, (now + duration_s, random.random(), placer, placement, request))
        if not is_short and now > 5.0:
            prompts += 1
            stalling += any(
                other.server.id == placement.server.id and waiting.prompt_tokens < 1_000
                for _, _, _, other, waiting in running
            )
    return stalling / prompts


def test_instances_with_thin_traffic_reserve_the_same_engines():
    """Long prompts stall fewer streams if instances share the load of these."""
    alone, shared = play_thin_traffic(False), play_thin_traffic(True)
    assert shared < 0.5 * alone


def test_a_burst_of_short_prompts_is_spread_over_enough_engines_for_its_prefills():
    """150 short prompts per second, of 30 ms prefill each, beside a few long prompts.

    Their streams would fit on few engines, whose prefills would stall them all.
    """
    random = Random(3)
    placer = build_placer(servers(40, slots=128))
    now, busy, running = 0.0, Counter(), []
    while now < 20.0:
        now += random.expovariate(155.0)
        while running and running[0][0] <= now:
            _, _, placement, request = heapq.heappop(running)
            placer.finish_attempt(placement, request, PlacementOutcome.DONE, True, now)
        is_short = random.random() < 150 / 155
        request = PlacementRequest("llm", 1_200) if is_short else prompt_request("s")
        placement = placer.choose(request, frozenset(), now)
        placer.start_attempt(placement, request, now)
        placer.record_first_token(placement, placement.prefill_tokens / 40_000)
        heapq.heappush(running, (now + 1.5, random.random(), placement, request))
        if is_short and now > 10.0:
            busy[placement.server.id] += 0.03
    assert max(busy.values()) / 10.0 <= 0.5


def test_a_server_that_fails_for_hours_is_still_paused():
    backends = servers(1, "app", 6)
    placer = build_placer(backends)
    request = PlacementRequest("app")
    for attempt in range(1_200):
        placement = placer.choose(request, frozenset(), float(attempt))
        placer.start_attempt(placement, request, float(attempt))
        placer.finish_attempt(
            placement, request, PlacementOutcome.UNREACHABLE, False, float(attempt)
        )
