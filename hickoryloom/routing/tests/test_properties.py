"""What holds of directory and router whatever comes in, in any order."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hickoryloom.admission import Request
from hickoryloom.clock import ManualClock
from hickoryloom.configuration import Pool, PoolKind, Snapshot, StaticBackend
from hickoryloom.routing import (
    AttemptEnd,
    AttemptOutcome,
    CacheEvent,
    DirectoryState,
    LoadReport,
    Router,
)
from hickoryloom.store import BackendState, LiveBackend

LISTED = [f"b{number}" for number in range(5)]
IDS = st.sampled_from(LISTED)
PREFIXES = st.sampled_from(["", "p1", "p2"])


class RoutingMachine(RuleBasedStateMachine):
    """A directory that feeds a router, with every source and every kind of end."""

    @initialize(seed=st.integers(0, 5))
    def start(self, seed):
        self.clock = ManualClock(1000.0)
        self.directory = DirectoryState()
        self.router = Router(self.clock, random.Random(seed), "huta-a")
        self.left = set()
        self.running = []
        self.probes = {}
        servers = (StaticBackend("static", "static:1", "huta-b"),)
        pool = Pool("p", PoolKind.ENGINE, slots=2, servers=servers)
        self.directory.set_snapshot(Snapshot(1, pools={"p": pool}))
        self.publish()

    def publish(self):
        self.views = self.directory.views(self.clock.monotonic())
        self.router.set_views(self.views)

    @rule(states=st.dictionaries(IDS, st.sampled_from(list(BackendState))))
    def take_list(self, states):
        rows = [
            LiveBackend(id, f"{id}:1", "huta-a", "p", False, state) for id, state in states.items()
        ]
        self.directory.apply_list(rows)
        self.left |= {id for id, state in states.items() if state is BackendState.LEAVING}
        self.publish()

    @rule(id=IDS, leaving=st.booleans())
    def take_own_word(self, id, leaving):
        self.directory.apply_own_word(id, leaving, self.clock.monotonic())
        if leaving:
            self.left.add(id)
        self.publish()

    @rule(ids=st.sets(IDS))
    def take_peers_words(self, ids):
        self.directory.apply_peers(ids)
        self.left |= ids
        self.publish()

    @rule(id=IDS, running=st.integers(0, 9), age=st.floats(0, 60))
    def take_report(self, id, running, age):
        report = LoadReport(running, 0, 1.0, self.clock.monotonic() - age)
        self.router.report(id, report)

    @rule(id=IDS, prefix=PREFIXES, cached=st.booleans())
    def take_cache_event(self, id, prefix, cached):
        self.router.cache_event(id, CacheEvent(prefix, cached))

    @rule(seconds=st.floats(0.01, 30.0))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(prefix=PREFIXES, tried=st.sets(IDS), stream=st.booleans())
    def begin(self, prefix, tried, stream):
        request = Request(
            *("r", "c", "m", "p", "guest", 1, True, 0.0, 10.0),
            prompt_tokens=500,
            prefix_hash=prefix,
            stream=stream,
        )
        choice = self.router.choose(request, frozenset(tried))
        usable = {view.id for view in self.views if not view.leaving} - tried
        if choice is None:
            assert not usable
            return
        assert choice.backend.id in usable
        self.running.append((choice, request, self.router.started(choice, request)))

    @precondition(lambda self: self.running)
    @rule(
        data=st.data(), end=st.sampled_from(list(AttemptEnd)), tokens=st.sampled_from([0, 1, 2, 50])
    )
    def end(self, data, end, tokens):
        place = data.draw(st.integers(0, len(self.running) - 1))
        choice, request, started = self.running.pop(place)
        if tokens:
            self.router.first_token(choice, started)
        now = self.clock.monotonic()
        first = now if tokens else None
        self.router.finished(choice, request, AttemptOutcome(end, started, now, first, tokens))

    @invariant()
    def leaving_is_never_taken_back(self):
        if hasattr(self, "views"):
            assert {view.id for view in self.views if view.id in self.left} <= {
                view.id for view in self.views if view.leaving
            }

    @invariant()
    def counts_are_sound(self):
        if not hasattr(self, "router"):
            return
        for tracked in self.router._backends.values():
            assert tracked.in_flight >= 0
            assert len(tracked._waiting_first) <= tracked.in_flight
            assert 0.0 <= tracked.expected_wait_s(self.clock.monotonic()) < 1e9
        assert self.router.in_flight() <= len(self.running)


TestRoutingMachine = RoutingMachine.TestCase
TestRoutingMachine.settings = settings(max_examples=60, stateful_step_count=30)
