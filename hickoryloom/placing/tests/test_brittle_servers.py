"""Bursts at servers that fall over if they turn away too many requests in a second."""

import heapq
from collections import deque
from random import Random

import pytest

from hickoryloom.evidence import InstanceRanking, SharedRecords
from hickoryloom.placing import (
    BRITTLE,
    LIMITS,
    BrittleServers,
    NamedLimits,
    PlacementOutcome,
    PlacementRequest,
    Placer,
    ReportedLoad,
)
from hickoryloom.placing.tests.test_placer import servers

BORNE = 3
BRITTLE_AT_S = 1.0
BURST_AT_S = 2.0
CONTACT_S = 3.0
SECONDS = 10.0
USUAL_LOAD = 0.5
SERVICE_S = 0.1
DELAY_S = 0.002
DOWN_S = 4.0
QUEUE, QUEUE_LATER = 6, 1
ATTEMPTS = 2

MIN_USED = 0.9
"""Part of what equal shares of the slots can carry; a round trip takes a twentieth."""


class Server:
    """Runs requests on slots, queues some, and falls over after too many rejections."""

    def __init__(self, slots):
        self.slots = slots
        self.rejections = deque()
        self.down_until = 0.0
        self.falls = 0
        self.ends = []

    def load(self, now):
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        running = min(self.slots, len(self.ends))
        return ReportedLoad(running, len(self.ends) - running, self.slots)

    def arrive(self, now, rng):
        """Return the time at which the answer is ready, or None if the request is turned away."""
        if self.load(now).waiting >= (QUEUE if now < CONTACT_S else QUEUE_LATER):
            self.rejections.append(now)
            while self.rejections[0] <= now - 1.0:
                self.rejections.popleft()
            if len(self.rejections) > BORNE and now > BRITTLE_AT_S:
                self.falls += 1
                self.down_until = now + DOWN_S
                self.ends.clear()
                self.rejections.clear()
            return None
        starts_at = now if len(self.ends) < self.slots else sorted(self.ends)[-self.slots]
        end = starts_at + SERVICE_S * (0.5 + rng.random())
        heapq.heappush(self.ends, end)
        return end


def carried(offered, slots):
    """Return the mean number of busy slots without a queue, by Erlang's loss formula."""
    blocked = 1.0
    for number in range(1, slots + 1):
        blocked = offered * blocked / (number + offered * blocked)
    return offered * (1.0 - blocked)


def build_placers(engines, instances, rng):
    addresses = [f"10.0.1.{index}:1" for index in range(instances)]
    shared = []
    placers = []
    for index, address in enumerate(addresses):
        records = SharedRecords(f"p{index}", [LIMITS, BRITTLE])
        ranking = InstanceRanking(address)
        ranking.set_others(addresses)
        placer = Placer(
            "a",
            Random(index),
            NamedLimits(records, ranking),
            BrittleServers(records, ranking),
        )
        placer.set_servers(engines)
        placer.set_instances(instances)
        placers.append(placer)
        shared.append(records)
    return placers, shared


def play(number, slots, instances, overload, skew=1.0):
    """Play a burst; return the falls, and the fraction of the capacity that was used."""
    rng = Random(5)
    known = servers(number, "s", slots)
    real = {server.id: Server(slots) for server in known}
    placers, shared = build_placers(known, instances, rng)
    usual_rate = USUAL_LOAD * number * slots / SERVICE_S
    rate = overload * number * slots / SERVICE_S
    weights = [skew if index == 0 else 1.0 for index in range(instances)]
    request = PlacementRequest("s")
    events, count, served, now = [], 0, 0, 0.0

    def push(at, action, *arguments):
        nonlocal count
        count += 1
        heapq.heappush(events, (at, count, action, arguments))

    def send(at, index, tried):
        placer = placers[index]
        placement = placer.choose(request, frozenset(tried), at)
        if placement is None:
            return
        placer.start_attempt(placement, request, at)
        push(at + DELAY_S, "arrive", index, placement, tried, at)

    push(0.0, "caller")
    push(0.0, "spread")
    while events:
        now, _, action, arguments = heapq.heappop(events)
        if now > SECONDS:
            break
        if action == "caller":
            usual = now < BURST_AT_S
            push(now + rng.expovariate(usual_rate if usual else rate), "caller")
            send(now, rng.choices(range(instances), weights)[0], ())
        elif action == "spread":
            push(now + 0.1, "spread")
            news = [record for records in shared for record in records.take_changes()]
            for target in shared:
                target.merge(news, now)
        elif action == "arrive":
            index, placement, tried, sent_at = arguments
            server = real[placement.server.id]
            if server.down_until > now:
                placers[index].finish_attempt(
                    placement, request, PlacementOutcome.FAILED, False, now + DELAY_S
                )
                continue
            end = server.arrive(now, rng)
            at = now if end is None else end
            push(at, "answer", index, placement, tried, sent_at, end)
        elif action == "answer":
            load = real[arguments[1].server.id].load(now)
            push(now + DELAY_S, "end", *arguments, load)
        else:
            index, placement, tried, sent_at, end, load = arguments
            placer = placers[index]
            outcome = PlacementOutcome.REFUSED if end is None else PlacementOutcome.DONE
            placer.finish_attempt(placement, request, outcome, False, now)
            brittle = str(BORNE) if now > BRITTLE_AT_S else ""
            placer.note_brittle(placement.server, brittle, sent_at, now)
            placer.apply_load_report(placement.server.id, load, now)
            if end is None:
                placer.record_rejected(placement.server, now)
                if len(tried) + 1 < ATTEMPTS:
                    send(now, index, (*tried, placement.server.id))
            elif now > CONTACT_S:
                served += 1
    capacity = number * slots / SERVICE_S * (SECONDS - CONTACT_S)
    return sum(server.falls for server in real.values()), served / capacity


@pytest.mark.parametrize(
    ("number", "slots", "instances", "overload"),
    [(4, 6, 6, 1.7), (10, 6, 6, 1.1), (3, 64, 6, 1.7), (12, 6, 20, 1.5)],
)
def test_brittle_servers_stay_up_in_a_burst_and_their_slots_are_used(
    number, slots, instances, overload
):
    falls, used = play(number, slots, instances, overload)
    assert falls <= 2 + 0.1 * number
    own_slots = number * slots / instances
    assert used >= MIN_USED * carried(overload * own_slots, int(own_slots)) / own_slots


def test_what_other_instances_leave_free_is_used():
    falls, used = play(4, 6, 6, 0.8, skew=5.0)
    assert falls <= 2.4
    offered = [0.8 * 24 * weight / 10.0 for weight in (5.0, 1.0, 1.0, 1.0, 1.0, 1.0)]
    assert used >= sum(carried(erlangs, 4) for erlangs in offered) / 24
