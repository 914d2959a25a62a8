"""Tier order across entries under delay, loss, freezes and cuts.

A refusal of a tier is allowed only when no entry could start a lower one in that pool outside
of its reserve, whatever messages are under way.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hickoryloom.admission.tests.cluster import CLASSES, ORDERED, POOL, SLOTS, Cluster

ENTRIES = 3
numbers = st.integers(0, 10**6)
entries = st.integers(0, ENTRIES - 1)


def check_order(cluster, refusing, refuse):
    if refuse.refused.reason not in ORDERED:
        return
    tier = refuse.waiting.request.tier
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
        self.cluster.on_refuse = lambda node, refuse: check_order(self.cluster, node, refuse)
        self.cluster.exchange_all()
        self.cluster.exchange_all()

    @rule(entry=entries, name=st.sampled_from(sorted(CLASSES)), slack=st.sampled_from((0.2, 3.0)))
    def arrive(self, entry, name, slack):
        node = self.cluster.nodes[entry]
        if not node.frozen:
            self.cluster.arrive(node, name, slack)

    @rule(entry=entries, count=st.integers(2, 8), name=st.sampled_from(sorted(CLASSES)))
    def burst(self, entry, count, name):
        node = self.cluster.nodes[entry]
        for _ in range(count):
            if not node.frozen:
                self.cluster.arrive(node, name, 0.5)

    @rule(entry=entries, index=numbers)
    def finish(self, entry, index):
        node = self.cluster.nodes[entry]
        if node.running and not node.frozen:
            self.cluster.finish(node, node.running[index % len(node.running)])

    @rule(sender=entries, receiver=entries)
    def send(self, sender, receiver):
        if sender != receiver:
            self.cluster.send(self.cluster.nodes[sender], self.cluster.nodes[receiver])

    @rule(index=numbers)
    def deliver(self, index):
        if self.cluster.wire:
            self.cluster.deliver(index)

    @rule(index=numbers)
    def drop(self, index):
        if self.cluster.wire:
            self.cluster.wire.pop(index % len(self.cluster.wire))

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
        self.cluster.cuts.clear()
        for node in self.cluster.nodes:
            if node.frozen:
                self.cluster.thaw(node)
        self.exchange(2)

    @rule(seconds=st.sampled_from((0.01, 0.3, 1.0, 2.0, 3.2, 12.0)), renew=st.booleans())
    def advance(self, seconds, renew):
        self.cluster.advance(seconds, renew)

    @rule(entry=entries)
    def freeze(self, entry):
        self.cluster.nodes[entry].frozen = True

    @rule(entry=entries)
    def thaw(self, entry):
        if self.cluster.nodes[entry].frozen:
            self.cluster.thaw(self.cluster.nodes[entry])

    @rule(one=entries, other=entries)
    def cut(self, one, other):
        names = frozenset((self.cluster.nodes[one].name, self.cluster.nodes[other].name))
        if len(names) == 2:
            self.cluster.cuts.add(names)

    @rule()
    def heal(self):
        self.cluster.cuts.clear()

    @invariant()
    def capacity_is_not_overcommitted_beyond_the_bound(self):
        assert self.cluster.in_flight() <= 2 * SLOTS


TestTierOrder = TierOrder.TestCase
TestTierOrder.settings = settings(max_examples=150, stateful_step_count=30)


def test_slots_that_a_peer_still_fills_are_not_started_again():
    cluster = Cluster(ENTRIES)
    for node in cluster.nodes:
        cluster.exchange_all()
        cluster.exchange_all()
        for _ in range(2 * SLOTS):
            cluster.arrive(node, "high", 60.0)
            cluster.exchange_all()
    assert cluster.in_flight() == SLOTS


def overload(cluster, seconds, step_s=0.1, hold_s=1.0, exchange=True):
    """Offer more of each class than there is room for, and finish what ran for `hold_s`."""
    for count in range(int(seconds / step_s)):
        for node in cluster.nodes:
            if node.frozen:
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
    cluster.on_refuse = lambda node, refuse: check_order(cluster, node, refuse)
    overload(cluster, 60.0)
    begun = cluster.now - 60.0 + 10.0
    for name in ("mid", "low"):
        busy = [a for at, _, a in cluster.starts if a.request.request_class == name and at > begun]
        assert all(admitted.reserved for admitted in busy)
        reserved_s = CLASSES[name].reserve * SLOTS * 50.0
        assert 0.7 * reserved_s <= len(busy) * 1.0 <= 1.2 * reserved_s + ENTRIES
    high = [a for at, _, a in cluster.starts if a.request.request_class == "high" and at > begun]
    assert len(high) >= 0.7 * 0.8 * SLOTS * 50.0


def test_with_an_entry_frozen_the_top_tier_is_refused_after_the_leave_lapsed():
    cluster = Cluster(ENTRIES)
    cluster.on_refuse = lambda node, refuse: check_order(cluster, node, refuse)
    overload(cluster, 2.0)
    cluster.nodes[2].frozen = True
    before = len(cluster.refusals)
    overload(cluster, 20.0)
    assert len(cluster.refusals) > before
    cluster.thaw(cluster.nodes[2])
    low = [a for at, name, a in cluster.starts if name == "e2" and at >= cluster.now - 1e-3]
    assert all(a.request.tier == 1 or a.reserved for a in low)


def test_across_a_long_cut_no_lower_tier_starts_outside_of_its_reserve():
    cluster = Cluster(2)
    cluster.on_refuse = lambda node, refuse: check_order(cluster, node, refuse)
    cluster.exchange_all()
    cluster.exchange_all()
    cluster.cuts.add(frozenset(("e0", "e1")))
    cluster.advance(4.0)
    begun = cluster.now
    for _ in range(600):
        for node in cluster.nodes:
            cluster.arrive(node, "low", 0.5)
            for admitted in list(node.running):
                if cluster.now - admitted.started >= 0.5:
                    cluster.finish(node, admitted)
        cluster.exchange_all()
        cluster.advance(0.2)
    lows = [a for at, _, a in cluster.starts if at > begun]
    assert lows and all(a.reserved for a in lows)
    cluster.cuts.clear()
    cluster.exchange_all()
    cluster.exchange_all()
    cluster.arrive(cluster.nodes[0], "low", 0.5)
    cluster.arrive(cluster.nodes[0], "low", 0.5)
    assert not cluster.starts[-1][2].reserved
