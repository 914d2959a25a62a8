"""Streams beside long prompts while an engine names a limit."""

import heapq
from random import Random

import pytest

from hickoryloom.evidence import InstanceRanking, SharedRecords
from hickoryloom.placing import (
    LIMITS,
    NamedLimits,
    PlacementOutcome,
    PlacementRequest,
    Placer,
)
from hickoryloom.placing.short_prompts import rank
from hickoryloom.placing.tests.test_placer import prompt_request, servers

INSTANCES = 6
ENGINES = 9
LIMIT = "1.2"
SECONDS = 60.0
REQUESTS_PER_S = 22.0


def build_placers(engines):
    """Return placers of several instances with the records that they share."""
    addresses = [f"10.0.1.{index}:1" for index in range(INSTANCES)]
    placers, shared = [], []
    for index, address in enumerate(addresses):
        records = SharedRecords(f"p{index}", [LIMITS])
        ranking = InstanceRanking(address)
        ranking.set_others(addresses)
        placer = Placer("a", Random(index), NamedLimits(records, ranking))
        placer.set_servers(engines)
        placer.set_instances(INSTANCES)
        placers.append(placer)
        shared.append(records)
    return placers, shared


def stalled_fraction(limited):
    """Replay short streams and long prompts; return the fraction of streams that are stalled.

    A stream is stalled if its engine begins a long prompt while it runs.
    """
    engines = servers(ENGINES)
    placers, shared = build_placers(engines)
    rng = Random(7)
    running, now, streams, stalled = [], 0.0, {}, set()
    while now < SECONDS:
        now += rng.expovariate(REQUESTS_PER_S)
        while running and running[0][0] <= now:
            _, number, placer, placement, request, sent_at = heapq.heappop(running)
            placer.record_first_token(placement, 0.1)
            placer.finish_attempt(placement, request, PlacementOutcome.DONE, True, now)
            streams.pop(number, None)
            if placement.server in limited:
                placer.note_limit(placement.server, LIMIT, sent_at, now)
        for source, records in enumerate(shared):
            changes = records.take_changes()
            for index, others in enumerate(shared):
                if index != source and changes:
                    others.merge(changes, now)
                    others.take_changes()
        is_short = rng.random() < 0.4
        name = f"s{rng.randrange(60)}"
        request = PlacementRequest("llm", 826) if is_short else prompt_request(name)
        placer = rng.choice(placers)
        placement = placer.choose(request, frozenset(), now)
        placer.start_attempt(placement, request, now)
        if limited and now < 0.5:
            placer.note_limit(limited[0], LIMIT, now, now)
        number = len(stalled) + rng.getrandbits(40)
        if is_short:
            streams[number] = placement.server.id
        else:
            stalled.update(n for n, id in streams.items() if id == placement.server.id)
        duration_s = 1.0 if is_short else 0.4
        heapq.heappush(running, (now + duration_s, number, placer, placement, request, now))
    return len(stalled) / (0.4 * REQUESTS_PER_S * SECONDS)


@pytest.mark.parametrize("number", [1, 2, 3, 5])
def test_limits_of_engines_for_short_prompts_do_not_mix_them_with_long_ones(number):
    by_rank = sorted(servers(ENGINES), key=lambda server: rank("quiet", server.id), reverse=True)
    assert stalled_fraction(by_rank[:number]) <= stalled_fraction([]) + 0.05


@pytest.mark.parametrize("now", [100.5, 130.0])
def test_the_home_of_a_session_does_not_depend_on_the_share_of_a_limited_engine(now):
    engines = servers(ENGINES)
    placers, _ = build_placers(engines)
    home = placers[0].choose(prompt_request("s1"), frozenset(), 100.0).server
    for placer in placers:
        placer.note_limit(home, LIMIT, 99.0, 100.0)
    chosen = set()
    for placer in placers:
        placement = placer.choose(prompt_request("s1"), frozenset(), now)
        if placement.reason == "affinity":
            chosen.add(placement.server.id)
    assert len(chosen) == 1
    assert home.id not in chosen
