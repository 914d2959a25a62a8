"""No entry accepts calls with keys if its view lacks a change older than the bound."""

import random

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hickoryloom.configuration.freshness import Freshness, FreshnessTracker, PeerView, is_quorum
from hickoryloom.configuration.known_peers import PEERS_PER_DOMAIN, SMALL_FLEET_MAX, KnownPeers
from hickoryloom.keys import ViewGuard
from hickoryloom.membership import Heartbeat

BOUND_S = 4.0
DOMAINS = ("huta-a", "huta-a", "huta-a", "huta-b", "huta-b", "sklad-c", "sklad-c")
ENTRIES = range(len(DOMAINS))


@attrs.define
class Entry:
    freshness_tracker: FreshnessTracker
    generation: int = 0

    @property
    def freshness(self):
        return self.freshness_tracker.freshness

    def apply(self, generation):
        if generation > self.generation:
            self.generation = generation
            self.freshness_tracker.record_applied(generation)


class PartitionedViews(RuleBasedStateMachine):
    """Simulates network partitions, platform outages and delayed responses.

    `partitioned` is one side of a partition: a whole failure domain, a single entry, or one
    entry of each failure domain. The platform is reachable from one side or not at all. Two
    known limits of the design are excluded: a single entry that alone reaches the platform, and
    a change that no entry receives before the platform goes down.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.entries = [Entry(FreshnessTracker(domain)) for domain in DOMAINS]
        self.accepted = [0.0]
        self.revision = 1
        self.partitioned = frozenset()
        self.platform_side = False
        self.platform_up = True
        self.in_flight = []
        self._change()

    def _change(self):
        self.accepted.append(self.now)
        self.revision += 1

    @property
    def generation(self):
        return len(self.accepted) - 1

    def reaches_platform(self, number):
        return self.platform_up and (number in self.partitioned) == self.platform_side

    @rule(steps=st.integers(1, 6), query_peers=st.booleans(), fetched=st.booleans())
    def advance(self, steps, query_peers, fetched=True):
        """Advance time while every entry watches the platform and queries its peers."""
        for _ in range(steps):
            self.now += 0.7
            for number in ENTRIES:
                self.query_platform(number, 0.0, 0)
                if query_peers:
                    self.query_round(number, 0.0, fetched)
            self.deliver()
            self.no_allowed_entry_misses_an_old_change()

    @rule(
        domain=st.sampled_from(sorted(set(DOMAINS))),
        entry=st.sampled_from(ENTRIES),
        platform_side=st.booleans(),
        scope=st.sampled_from(["domain", "entry", "minority"]),
        fetched=st.booleans(),
    )
    def change_during_a_partition(self, domain, entry, platform_side, scope, fetched):
        """Partition some entries, change the configuration and advance time."""
        self.set_platform(True)
        if scope == "domain":
            self.partition_domain(domain, platform_side)
        elif scope == "entry":
            self.partition_entry(entry)
        else:
            self.partition_minority()
        self.advance(2, True)
        self.change(None)
        self.advance(9, True, fetched)

    @rule(seconds=st.floats(0.05, 1.5))
    def wait(self, seconds):
        self.now += seconds

    @rule(missed=st.none() | st.sampled_from(ENTRIES))
    def change(self, missed):
        """The platform accepts a change, which all pending watches receive, except one.

        The watch of `missed` loses it, unless only the partitioned side reaches the platform.
        """
        if not self.platform_up:
            return
        self._change()
        for number in ENTRIES:
            if self.reaches_platform(number) and (number != missed or self.platform_side):
                self.entries[number].apply(self.generation)

    @rule(up=st.booleans())
    def set_platform(self, up):
        self.platform_up = up

    @rule(domain=st.sampled_from(sorted(set(DOMAINS))), platform_side=st.booleans())
    def partition_domain(self, domain, platform_side):
        self.partitioned = frozenset(n for n in ENTRIES if DOMAINS[n] == domain)
        self.platform_side = platform_side

    @rule(number=st.sampled_from(ENTRIES))
    def partition_entry(self, number):
        self.partitioned = frozenset([number])
        self.platform_side = False

    @rule()
    def partition_minority(self):
        """Partition one entry of each failure domain; they still reach each other."""
        self.partitioned = frozenset(DOMAINS.index(domain) for domain in set(DOMAINS))
        self.platform_side = False

    @rule()
    def heal_partition(self):
        self.partitioned = frozenset()
        self.platform_side = False

    @rule(
        number=st.sampled_from(ENTRIES), response_delay_s=st.floats(0, 3), stale=st.integers(0, 3)
    )
    def query_platform(self, number, response_delay_s, stale):
        """Send a watch, or a list call with a stale response; the response arrives later."""
        if not self.reaches_platform(number):
            return
        kind = "list" if stale else "watch"
        generation = max(1, self.generation - stale)
        arrival = self.now + response_delay_s
        self.in_flight.append((arrival, kind, number, self.now, generation, self.revision))

    @rule(
        number=st.sampled_from(ENTRIES), response_delay_s=st.floats(0, 0.8), fetched=st.booleans()
    )
    def query_round(self, number, response_delay_s, fetched=True):
        """Query all peers; those on the same side respond now, and the round ends later.

        A generation reported by a peer may not be available from it, for example because the peer
        has moved on to a later one.
        """
        views = {}
        for peer in ENTRIES:
            if peer != number and (peer in self.partitioned) == (number in self.partitioned):
                views[peer] = (self._view_of(peer), self.entries[peer].generation)
        self.in_flight.append(
            (self.now + response_delay_s, "round", number, self.now, views, fetched)
        )

    def _view_of(self, number):
        entry = self.entries[number]
        fresh = entry.freshness
        age_s, confirmed_s = fresh.age(self.now), fresh.confirmed_age(self.now)
        return PeerView(
            entry.generation,
            fresh.revision,
            -1.0 if age_s == float("inf") else age_s,
            -1.0 if confirmed_s == float("inf") else confirmed_s,
        )

    @rule()
    def deliver(self):
        due = [message for message in self.in_flight if message[0] <= self.now]
        self.in_flight = [message for message in self.in_flight if message[0] > self.now]
        for _, kind, number, sent_at, content, extra in due:
            entry = self.entries[number]
            if kind != "round":
                entry.apply(content)
                if kind == "watch":
                    entry.freshness_tracker.record_platform_response(sent_at, extra)
                continue
            for view, generation in content.values():
                if extra:
                    entry.apply(generation)
                entry.freshness_tracker.record_peer_response(sent_at, view)
            queried = {str(peer): DOMAINS[peer] for peer in ENTRIES if peer != number}
            entry.freshness_tracker.record_round(sent_at, queried, {str(peer) for peer in content})

    @invariant()
    def no_allowed_entry_misses_an_old_change(self):
        for entry in self.entries:
            if ViewGuard(entry).allows_keyed_calls(self.now) and entry.generation < self.generation:
                missed = self.accepted[entry.generation + 1]
                assert self.now - missed <= BOUND_S + 1e-6


TestViews = PartitionedViews.TestCase
TestViews.settings = settings(max_examples=150, stateful_step_count=40)


def freshness_tracker(generation=3, domain="huta-a"):
    tracker = FreshnessTracker(domain)
    tracker.record_applied(generation)
    return tracker


def test_watch_response_with_an_older_revision_is_ignored():
    tracker = freshness_tracker()
    tracker.record_platform_response(10.0, 7)
    tracker.record_platform_response(20.0, 6)
    assert tracker.freshness.seen == 10.0
    tracker.record_known(3, 9)
    tracker.record_platform_response(30.0, 8)
    assert tracker.freshness.seen == 10.0
    tracker.record_platform_response(40.0, 9)
    assert tracker.freshness.seen == 40.0


def test_watch_response_is_ignored_while_a_newer_generation_is_known():
    tracker = freshness_tracker(generation=3)
    tracker.record_known(4, 0)
    tracker.record_platform_response(10.0, 1)
    assert tracker.freshness.confirmed_age(10.0) == float("inf")
    tracker.record_applied(4)
    tracker.record_platform_response(11.0, 2)
    assert tracker.freshness.seen == 11.0


def test_peer_with_a_newer_generation_does_not_confirm_the_view():
    tracker = freshness_tracker(generation=3)
    tracker.record_peer_response(10.0, PeerView(4, 1, 0.5, 0.5))
    assert tracker.freshness.confirmed_age(10.0) == float("inf")
    assert not tracker.record_round(10.0, {}, set())
    tracker.record_applied(4)
    tracker.record_peer_response(12.0, PeerView(4, 1, 0.5, 0.25))
    assert tracker.freshness.seen == 11.5
    assert tracker.freshness.confirmed == 11.75


def test_round_without_a_configuration_confirms_nothing():
    assert not FreshnessTracker("huta-a").record_round(1.0, {}, set())
    assert freshness_tracker().record_round(1.0, {}, set())


@pytest.mark.parametrize(
    ("answered", "expected"),
    [
        ({"b", "c", "d", "e", "f", "g"}, True),
        ({"d", "f", "g"}, True),
        ({"d", "f"}, False),
        ({"b", "c", "d", "e"}, False),
        ({"d", "e", "f", "g"}, True),
        (set(), False),
    ],
)
def test_quorum_needs_a_majority_and_every_other_failure_domain(answered, expected):
    queried = {"b": "huta-a", "c": "huta-a", "d": "huta-b", "e": "huta-b", "f": "sklad-c"}
    queried["g"] = "sklad-c"
    assert is_quorum(queried, answered, "huta-a") is expected


def test_readiness_fails_before_calls_with_keys_are_refused():
    source = Entry(FreshnessTracker(""))
    source.freshness_tracker.record_platform_response(100.0, 1)
    guard = ViewGuard(source)
    assert guard.ready(103.2) and guard.allows_keyed_calls(103.2)
    assert not guard.ready(103.5) and guard.allows_keyed_calls(103.5)
    assert not guard.ready(104.5) and not guard.allows_keyed_calls(104.5)
    assert not ViewGuard(Entry(FreshnessTracker(""))).allows_keyed_calls(0.0)
    assert Freshness().confirmed_age(5.0) == float("inf")


def heartbeat(address, domain, stopping=False):
    return Heartbeat(f"of-{address}", address, domain, 1, 1, 0.0, stopping=stopping)


def test_peer_counts_until_it_is_known_to_be_gone():
    known = KnownPeers(random.Random(1), ["seed:1"])
    assert known.select(0.0) == {"seed:1": ""}
    known.record_heartbeat(heartbeat("a:1", "huta-a"), 0.0)
    known.record_heartbeat(heartbeat("b:1", "huta-b"), 0.0)
    assert known.select(3000.0) == {"a:1": "huta-a", "b:1": "huta-b"}
    known.record_heartbeat(heartbeat("a:1", "huta-a", stopping=True), 3000.0)
    assert known.select(3000.0) == {"b:1": "huta-b"}
    known.record_refusal("b:1", 3000.0)
    assert known.select(3000.0) == {"seed:1": ""}
    known.record_heartbeat(heartbeat("c:1", "huta-b"), 3000.0)
    known.record_heartbeat(heartbeat("d:1", "huta-b"), 3000.0)
    known.retain({"of-c:1"})
    assert known.select(3000.0) == {"c:1": "huta-b"}
    assert known.select(7000.0) == {"seed:1": ""}


def test_large_fleet_queries_a_few_peers_per_failure_domain():
    known = KnownPeers(random.Random(1))
    for number in range(370):
        known.record_heartbeat(heartbeat(f"p:{number}", f"domain-{number % 21}"), 0.0)
    queried = known.select(1.0)
    assert len(queried) == 21 * PEERS_PER_DOMAIN > SMALL_FLEET_MAX
    assert set(queried.values()) == {f"domain-{number}" for number in range(21)}
    assert queried != known.select(1.0)
    assert len(set(known.sample_peers())) == 2
    known.retain({f"of-p:{number}" for number in range(16)})
    assert known.sample_peers() == []


def test_round_must_query_all_known_peers():
    known = KnownPeers(random.Random(1), ["f:1"], own_address="new:1")
    queried = known.select(0.0)
    assert queried == {"f:1": ""} and not known.covers_required(queried)
    known.record_response("f:1", 0.0)
    known.record_reported("g:1", "of-g", "huta-b", -5.0)
    known.record_reported("new:1", "of-new", "huta-a", -1.0)
    assert not known.covers_required(queried)
    queried = known.select(1.0)
    assert queried == {"f:1": "", "g:1": "huta-b"} and known.covers_required(queried)


def test_sole_entry_covers_all_peers_once_its_seeds_refuse():
    known = KnownPeers(random.Random(1), ["f:1", "new:1"], own_address="new:1")
    assert not known.covers_required({})
    known.record_refusal("f:1", 1.0)
    assert known.select(2.0) == {"f:1": ""} and known.covers_required({"f:1": ""})
    assert known.filter_known({"f:1": ""}) == {}
    assert not known.covers_required(known.select(70.0))


def test_peer_that_refused_is_not_added_again_by_older_reports():
    known = KnownPeers(random.Random(1))
    known.record_reported("g:1", "of-g", "huta-b", 0.0)
    known.record_refusal("g:1", 10.0)
    known.record_reported("g:1", "of-g", "huta-b", 9.0)
    assert len(known) == 0
    known.record_reported("g:1", "of-g", "huta-b", 11.0)
    assert len(known) == 1


def test_large_fleet_reports_peers_only_to_a_peer_that_knows_few():
    known = KnownPeers(random.Random(1))
    for number in range(370):
        known.record_heartbeat(heartbeat(f"p:{number}", f"domain-{number % 21}"), 5.0)
    assert known.peers_to_report(7.0, 360) == {}
    reported = known.peers_to_report(7.0, 3)
    assert len(reported) == 370 and reported["p:0"] == ("of-p:0", "domain-0", 2.0)
    assert not known.covers_required({"p:0": "domain-0"})
    assert known.covers_required(known.select(7.0))
