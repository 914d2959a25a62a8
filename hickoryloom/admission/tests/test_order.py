"""Tier order across entries under message delay and loss, suspended entries and partitions.

A request may be refused only if no entry could start a request of a lower tier in the same
pool outside of its reserve, regardless of the messages in transit.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hickoryloom.admission.tests.cluster import CLASSES, POOL, SLOTS, TIER_ORDERED_REASONS, Cluster

ENTRIES = 3
numbers = st.integers(0, 10**6)
entries = st.integers(0, ENTRIES - 1)


def assert_tier_order(cluster, refusing, refuse):
    if refuse.refused.reason not in TIER_ORDERED_REASONS:
        return
    tier = refuse.queued_request.request.tier
    for node in cluster.nodes:
        pool = node.admission.pools[POOL]
        for other in CLASSES.values():
            if other.tier > tier:
                able = pool.may_start(other.tier, cluster.now)
                assert not able, (
                    f"{refusing.name} refused tier {tier} while {node.name} could start "
                    f"tier {other.tier}"
                )


class TierOrder(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.cluster = Cluster(ENTRIES)
        self.cluster.on_refuse = lambda node, refuse: assert_tier_order(self.cluster, node, refuse)
        self.cluster.exchange_all()
        self.cluster.exchange_all()

    @rule(entry=entries, name=st.sampled_from(sorted(CLASSES)), slack=st.sampled_from((0.2, 3.0)))
    def arrive(self, entry, name, slack):
        node = self.cluster.nodes[entry]
        if not node.suspended:
            self.cluster.arrive(node, name, slack)

    @rule(entry=entries, count=st.integers(2, 8), name=st.sampled_from(sorted(CLASSES)))
    def burst(self, entry, count, name):
        node = self.cluster.nodes[entry]
        for _ in range(count):
            if not node.suspended:
                self.cluster.arrive(node, name, 0.5)

    @rule(entry=entries, index=numbers)
    def finish(self, entry, index):
        node = self.cluster.nodes[entry]
        if node.running and not node.suspended:
            self.cluster.finish(node, node.running[index % len(node.running)])

    @rule(sender=entries, receiver=entries)
    def send(self, sender, receiver):
        if sender != receiver:
            self.cluster.send(self.cluster.nodes[sender], self.cluster.nodes[receiver])

    @rule(index=numbers)
    def deliver(self, index):
        if self.cluster.in_transit:
            self.cluster.deliver(index)

    @rule(index=numbers)
    def drop(self, index):
        if self.cluster.in_transit:
            self.cluster.in_transit.pop(index % len(self.cluster.in_transit))

    @rule(rounds=st.integers(1, 3))
    def exchange(self, rounds):
        for _ in range(rounds):
            self.cluster.exchange_all()

    @rule(entry=entries, count=st.integers(4, 12))
    def overload_one_entry(self, entry, count):
        self.burst(entry, count, "high")
        self.exchange(2)

    @rule()
    def recover(self):
        self.cluster.partitions.clear()
        for node in self.cluster.nodes:
            if node.suspended:
                self.cluster.resume(node)
        self.exchange(2)

    @rule(seconds=st.sampled_from((0.01, 0.3, 1.0, 2.0, 3.2, 12.0)), renew=st.booleans())
    def advance(self, seconds, renew):
        self.cluster.advance(seconds, renew)

    @rule(entry=entries)
    def suspend(self, entry):
        self.cluster.nodes[entry].suspended = True

    @rule(entry=entries)
    def resume(self, entry):
        if self.cluster.nodes[entry].suspended:
            self.cluster.resume(self.cluster.nodes[entry])

    @rule(one=entries, other=entries)
    def partition(self, one, other):
        names = frozenset((self.cluster.nodes[one].name, self.cluster.nodes[other].name))
        if len(names) == 2:
            self.cluster.partitions.add(names)

    @rule()
    def heal(self):
        self.cluster.partitions.clear()

    @invariant()
    def capacity_is_not_overcommitted_beyond_the_bound(self):
        assert self.cluster.in_flight() <= 2 * SLOTS


TestTierOrder = TierOrder.TestCase
TestTierOrder.settings = settings(max_examples=150, stateful_step_count=30)


def test_slots_occupied_at_a_peer_are_not_reused():
    cluster = Cluster(ENTRIES)
    for node in cluster.nodes:
        cluster.exchange_all()
        cluster.exchange_all()
        for _ in range(2 * SLOTS):
            cluster.arrive(node, "high", 60.0)
            cluster.exchange_all()
    assert cluster.in_flight() == SLOTS


def overload(cluster, seconds, step_s=0.1, hold_s=1.0, exchange=True):
    """Submit more requests of each class than fit, and finish those that ran for `hold_s`."""
    for count in range(int(seconds / step_s)):
        for node in cluster.nodes:
            if node.suspended:
                continue
            for name in CLASSES:
                for _ in range(3 if name == "high" else 1):
                    cluster.arrive(node, name, 1.5)
            for admitted in list(node.running):
                if cluster.now - admitted.started >= hold_s:
                    cluster.finish(node, admitted)
        if exchange and count % 5 == 0:
            cluster.exchange_all()
        cluster.advance(step_s)


def test_each_class_progresses_at_its_reserve_under_endless_top_tier_overload():
    cluster = Cluster(ENTRIES)
    cluster.on_refuse = lambda node, refuse: assert_tier_order(cluster, node, refuse)
    overload(cluster, 60.0)
    measured_from = cluster.now - 60.0 + 10.0
    for name in ("mid", "low"):
        started = [
            a
            for at, _, a in cluster.starts
            if a.request.request_class == name and at > measured_from
        ]
        assert all(admitted.reserved for admitted in started)
        reserved_s = CLASSES[name].reserve * SLOTS * 50.0
        assert 0.7 * reserved_s <= len(started) * 1.0 <= 1.2 * reserved_s + ENTRIES
    high = [
        a for at, _, a in cluster.starts if a.request.request_class == "high" and at > measured_from
    ]
    assert len(high) >= 0.7 * 0.8 * SLOTS * 50.0


def test_with_an_entry_suspended_the_top_tier_is_refused_after_start_grants_expired():
    cluster = Cluster(ENTRIES)
    cluster.on_refuse = lambda node, refuse: assert_tier_order(cluster, node, refuse)
    overload(cluster, 2.0)
    cluster.nodes[2].suspended = True
    before = len(cluster.refusals)
    overload(cluster, 20.0)
    assert len(cluster.refusals) > before
    cluster.resume(cluster.nodes[2])
    low = [a for at, name, a in cluster.starts if name == "e2" and at >= cluster.now - 1e-3]
    assert all(a.request.tier == 1 or a.reserved for a in low)


def test_during_a_long_partition_no_lower_tier_starts_outside_of_its_reserve():
    cluster = Cluster(2)
    cluster.on_refuse = lambda node, refuse: assert_tier_order(cluster, node, refuse)
    cluster.exchange_all()
    cluster.exchange_all()
    cluster.partitions.add(frozenset(("e0", "e1")))
    cluster.advance(4.0)
    measured_from = cluster.now
    for _ in range(600):
        for node in cluster.nodes:
            cluster.arrive(node, "low", 0.5)
            for admitted in list(node.running):
                if cluster.now - admitted.started >= 0.5:
                    cluster.finish(node, admitted)
        cluster.exchange_all()
        cluster.advance(0.2)
    low_starts = [a for at, _, a in cluster.starts if at > measured_from]
    assert low_starts and all(a.reserved for a in low_starts)
    cluster.partitions.clear()
    cluster.exchange_all()
    cluster.exchange_all()
    cluster.arrive(cluster.nodes[0], "low", 0.5)
    cluster.arrive(cluster.nodes[0], "low", 0.5)
    assert not cluster.starts[-1][2].reserved
