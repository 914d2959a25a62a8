"""Invariants of the directory and the router under any order of inputs."""

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

BACKEND_IDS = [f"b{number}" for number in range(5)]
ID_STRATEGY = st.sampled_from(BACKEND_IDS)
PREFIX_STRATEGY = st.sampled_from(["", "p1", "p2"])


class RoutingMachine(RuleBasedStateMachine):
    """Feeds a directory and a router from every source and ends attempts in every way."""

    @initialize(seed=st.integers(0, 5))
    def start(self, seed):
        self.clock = ManualClock(1000.0)
        self.directory = DirectoryState()
        self.router = Router(self.clock, random.Random(seed), "huta-a")
        self.reported_leaving = set()
        self.attempts = []
        self.probes = {}
        servers = (StaticBackend("static", "static:1", "huta-b"),)
        pool = Pool("p", PoolKind.ENGINE, slots=2, servers=servers)
        self.directory.set_snapshot(Snapshot(1, pools={"p": pool}))
        self.publish()

    def publish(self):
        self.views = self.directory.views(self.clock.monotonic())
        self.router.set_views(self.views)

    @rule(states=st.dictionaries(ID_STRATEGY, st.sampled_from(list(BackendState))))
    def apply_list(self, states):
        rows = [
            LiveBackend(id, f"{id}:1", "huta-a", "p", False, state) for id, state in states.items()
        ]
        self.directory.apply_list(rows)
        self.reported_leaving |= {
            id for id, state in states.items() if state is BackendState.LEAVING
        }
        self.publish()

    @rule(id=ID_STRATEGY, leaving=st.booleans())
    def apply_self_report(self, id, leaving):
        self.directory.apply_self_report(id, leaving, self.clock.monotonic())
        if leaving:
            self.reported_leaving.add(id)
        self.publish()

    @rule(ids=st.sets(ID_STRATEGY))
    def apply_peer_leaving(self, ids):
        self.directory.apply_peer_leaving(ids)
        self.reported_leaving |= ids
        self.publish()

    @rule(id=ID_STRATEGY, running=st.integers(0, 9), age=st.floats(0, 60))
    def report_load(self, id, running, age):
        report = LoadReport(running, 0, 1.0, self.clock.monotonic() - age)
        self.router.apply_load_report(id, report)

    @rule(id=ID_STRATEGY, prefix=PREFIX_STRATEGY, cached=st.booleans())
    def report_cache_event(self, id, prefix, cached):
        self.router.apply_cache_event(id, CacheEvent(prefix, cached))

    @rule(seconds=st.floats(0.01, 30.0))
    def advance_clock(self, seconds):
        self.clock.advance(seconds)

    @rule(prefix=PREFIX_STRATEGY, tried=st.sets(ID_STRATEGY), stream=st.booleans())
    def start_attempt(self, prefix, tried, stream):
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
        self.attempts.append((choice, request, self.router.start_attempt(choice, request)))

    @precondition(lambda self: self.attempts)
    @rule(
        data=st.data(), end=st.sampled_from(list(AttemptEnd)), tokens=st.sampled_from([0, 1, 2, 50])
    )
    def finish_attempt(self, data, end, tokens):
        index = data.draw(st.integers(0, len(self.attempts) - 1))
        choice, request, started = self.attempts.pop(index)
        if tokens:
            self.router.record_first_token(choice, started)
        now = self.clock.monotonic()
        first = now if tokens else None
        self.router.finish_attempt(
            choice, request, AttemptOutcome(end, started, now, first, tokens)
        )

    @invariant()
    def leaving_is_permanent(self):
        if hasattr(self, "views"):
            assert {view.id for view in self.views if view.id in self.reported_leaving} <= {
                view.id for view in self.views if view.leaving
            }

    @invariant()
    def counters_stay_consistent(self):
        if not hasattr(self, "router"):
            return
        for tracked in self.router._backends.values():
            assert tracked.in_flight >= 0
            assert len(tracked._awaiting_first_token) <= tracked.in_flight
            assert 0.0 <= tracked.expected_wait_s(self.clock.monotonic()) < 1e9
        assert self.router.in_flight() <= len(self.attempts)


TestRoutingMachine = RoutingMachine.TestCase
TestRoutingMachine.settings = settings(max_examples=60, stateful_step_count=30)
