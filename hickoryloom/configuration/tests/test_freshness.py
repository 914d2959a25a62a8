"""No entry vouches for a view that lacks a change accepted longer ago than the bound."""

import random

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hickoryloom.configuration.freshness import Freshness, PeerView, ViewEvidence, is_quorum
from hickoryloom.configuration.known_peers import ASK_ALL_UP_TO, ASKED_PER_DOMAIN, KnownPeers
from hickoryloom.keys import ViewGuard
from hickoryloom.membership import Heartbeat

BOUND_S = 4.0
DOMAINS = ("huta-a", "huta-a", "huta-a", "huta-b", "huta-b", "sklad-c", "sklad-c")
ENTRIES = range(len(DOMAINS))


@attrs.define
class Entry:
    evidence: ViewEvidence
    generation: int = 0

    @property
    def freshness(self):
        return self.evidence.freshness

    def take(self, generation):
        if generation > self.generation:
            self.generation = generation
            self.evidence.applied(generation)


class Views(RuleBasedStateMachine):
    """Entries, links and the platform come and go, and answers take their time.

    `side` splits the entries: a whole failure domain, or one entry of a domain that keeps others,
    may be cut off. The platform is reached from one side or from none. Left out, as the design note
    says: a lone entry that alone sees the platform, and a change that no entry is told of before
    the platform goes down.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.entries = [Entry(ViewEvidence(domain)) for domain in DOMAINS]
        self.accepted = [0.0]
        self.revision = 1
        self.cut = frozenset()
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
        return self.platform_up and (number in self.cut) == self.platform_side

    @rule(steps=st.integers(1, 6), ask=st.booleans(), fetched=st.booleans())
    def run(self, steps, ask, fetched=True):
        """Let time pass as usual: every entry watches, and asks its peers when it has to."""
        for _ in range(steps):
            self.now += 0.7
            for number in ENTRIES:
                self.ask_platform(number, 0.0, 0)
                if ask:
                    self.ask_round(number, 0.0, fetched)
            self.deliver()
            self.no_allowed_entry_misses_an_old_change()

    @rule(
        domain=st.sampled_from(sorted(set(DOMAINS))),
        entry=st.sampled_from(ENTRIES),
        platform_side=st.booleans(),
        what=st.sampled_from(["domain", "entry", "minority"]),
        fetched=st.booleans(),
    )
    def change_during_a_cut(self, domain, entry, platform_side, what, fetched):
        """Cut some entries off, change the configuration, and let time pass."""
        self.set_platform(True)
        if what == "domain":
            self.cut_domain(domain, platform_side)
        elif what == "entry":
            self.cut_entry(entry)
        else:
            self.cut_minority()
        self.run(2, True)
        self.change(None)
        self.run(9, True, fetched)

    @rule(seconds=st.floats(0.05, 1.5))
    def wait(self, seconds):
        self.now += seconds

    @rule(missed=st.none() | st.sampled_from(ENTRIES))
    def change(self, missed):
        """The platform accepts a change; waiting watches tell it at once, but for one lost one."""
        if not self.platform_up:
            return
        self._change()
        for number in ENTRIES:
            if self.reaches_platform(number) and (number != missed or self.platform_side):
                self.entries[number].take(self.generation)

    @rule(up=st.booleans())
    def set_platform(self, up):
        self.platform_up = up

    @rule(domain=st.sampled_from(sorted(set(DOMAINS))), platform_side=st.booleans())
    def cut_domain(self, domain, platform_side):
        self.cut = frozenset(n for n in ENTRIES if DOMAINS[n] == domain)
        self.platform_side = platform_side

    @rule(number=st.sampled_from(ENTRIES))
    def cut_entry(self, number):
        self.cut = frozenset([number])
        self.platform_side = False

    @rule()
    def cut_minority(self):
        """Cut off one entry of each failure domain; they still reach each other."""
        self.cut = frozenset(DOMAINS.index(domain) for domain in set(DOMAINS))
        self.platform_side = False

    @rule()
    def heal(self):
        self.cut = frozenset()
        self.platform_side = False

    @rule(number=st.sampled_from(ENTRIES), answer_s=st.floats(0, 3), stale=st.integers(0, 3))
    def ask_platform(self, number, answer_s, stale):
        """Watch, or list with a stale answer; either is of now and arrives later."""
        if not self.reaches_platform(number):
            return
        kind = "list" if stale else "watch"
        generation = max(1, self.generation - stale)
        arrival = self.now + answer_s
        self.in_flight.append((arrival, kind, number, self.now, generation, self.revision))

    @rule(number=st.sampled_from(ENTRIES), answer_s=st.floats(0, 0.8), fetched=st.booleans())
    def ask_round(self, number, answer_s, fetched=True):
        """Ask all peers; those on the same side answer at once, and the round ends later.

        What a peer knows may not be had from it, as when it goes on to a later generation.
        """
        views = {}
        for peer in ENTRIES:
            if peer != number and (peer in self.cut) == (number in self.cut):
                views[peer] = (self._view_of(peer), self.entries[peer].generation)
        self.in_flight.append((self.now + answer_s, "round", number, self.now, views, fetched))

    def _view_of(self, number):
        entry = self.entries[number]
        fresh = entry.freshness
        age_s, vouched_s = fresh.age(self.now), fresh.vouched_age(self.now)
        return PeerView(
            entry.generation,
            fresh.revision,
            -1.0 if age_s == float("inf") else age_s,
            -1.0 if vouched_s == float("inf") else vouched_s,
        )

    @rule()
    def deliver(self):
        due = [message for message in self.in_flight if message[0] <= self.now]
        self.in_flight = [message for message in self.in_flight if message[0] > self.now]
        for _, kind, number, sent, content, more in due:
            entry = self.entries[number]
            if kind != "round":
                entry.take(content)
                if kind == "watch":
                    entry.evidence.platform_answered(sent, more)
                continue
            for view, generation in content.values():
                if more:
                    entry.take(generation)
                entry.evidence.peer_answered(sent, view)
            asked = {str(peer): DOMAINS[peer] for peer in ENTRIES if peer != number}
            entry.evidence.round_ended(sent, asked, {str(peer) for peer in content})

    @invariant()
    def no_allowed_entry_misses_an_old_change(self):
        for entry in self.entries:
            if ViewGuard(entry).allows_keyed(self.now) and entry.generation < self.generation:
                missed = self.accepted[entry.generation + 1]
                assert self.now - missed <= BOUND_S + 1e-6


TestViews = Views.TestCase
TestViews.settings = settings(max_examples=150, stateful_step_count=40)


def evidence(generation=3, domain="huta-a"):
    found = ViewEvidence(domain)
    found.applied(generation)
    return found


def test_a_watch_answer_of_an_older_revision_than_known_shows_nothing():
    found = evidence()
    found.platform_answered(10.0, 7)
    found.platform_answered(20.0, 6)
    assert found.freshness.seen == 10.0
    found.heard_of(3, 9)
    found.platform_answered(30.0, 8)
    assert found.freshness.seen == 10.0
    found.platform_answered(40.0, 9)
    assert found.freshness.seen == 40.0


def test_a_watch_answer_without_a_generation_known_elsewhere_shows_nothing():
    found = evidence(generation=3)
    found.heard_of(4, 0)
    found.platform_answered(10.0, 1)
    assert found.freshness.vouched_age(10.0) == float("inf")
    found.applied(4)
    found.platform_answered(11.0, 2)
    assert found.freshness.seen == 11.0


def test_a_peer_with_a_newer_generation_vouches_for_nothing_here():
    found = evidence(generation=3)
    found.peer_answered(10.0, PeerView(4, 1, 0.5, 0.5))
    assert found.freshness.vouched_age(10.0) == float("inf")
    assert not found.round_ended(10.0, {}, set())
    found.applied(4)
    found.peer_answered(12.0, PeerView(4, 1, 0.5, 0.25))
    assert found.freshness.seen == 11.5
    assert found.freshness.vouched == 11.75


def test_an_entry_without_configuration_vouches_for_nothing():
    assert not ViewEvidence("huta-a").round_ended(1.0, {}, set())
    assert evidence().round_ended(1.0, {}, set())


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
def test_a_round_needs_more_than_half_and_every_other_failure_domain(answered, expected):
    asked = {"b": "huta-a", "c": "huta-a", "d": "huta-b", "e": "huta-b", "f": "sklad-c"}
    asked["g"] = "sklad-c"
    assert is_quorum(asked, answered, "huta-a") is expected


def test_readiness_fails_before_keyed_work_is_refused():
    source = Entry(ViewEvidence(""))
    source.evidence.platform_answered(100.0, 1)
    guard = ViewGuard(source)
    assert guard.ready(103.2) and guard.allows_keyed(103.2)
    assert not guard.ready(103.5) and guard.allows_keyed(103.5)
    assert not guard.ready(104.5) and not guard.allows_keyed(104.5)
    assert not ViewGuard(Entry(ViewEvidence(""))).allows_keyed(0.0)
    assert Freshness().vouched_age(5.0) == float("inf")


def heartbeat(address, domain, stopping=False):
    return Heartbeat(f"of-{address}", address, domain, 1, 1, 0.0, stopping=stopping)


def test_a_peer_counts_until_it_is_known_to_be_gone():
    known = KnownPeers(random.Random(1), ["seed:1"])
    assert known.choose(0.0) == {"seed:1": ""}
    known.listed(heartbeat("a:1", "huta-a"), 0.0)
    known.listed(heartbeat("b:1", "huta-b"), 0.0)
    assert known.choose(3000.0) == {"a:1": "huta-a", "b:1": "huta-b"}
    known.listed(heartbeat("a:1", "huta-a", stopping=True), 3000.0)
    assert known.choose(3000.0) == {"b:1": "huta-b"}
    known.refused("b:1", 3000.0)
    assert known.choose(3000.0) == {"seed:1": ""}
    known.listed(heartbeat("c:1", "huta-b"), 3000.0)
    known.listed(heartbeat("d:1", "huta-b"), 3000.0)
    known.keep({"of-c:1"})
    assert known.choose(3000.0) == {"c:1": "huta-b"}
    assert known.choose(7000.0) == {"seed:1": ""}


def test_a_large_fleet_asks_a_few_in_each_failure_domain():
    known = KnownPeers(random.Random(1))
    for number in range(370):
        known.listed(heartbeat(f"p:{number}", f"domain-{number % 21}"), 0.0)
    asked = known.choose(1.0)
    assert len(asked) == 21 * ASKED_PER_DOMAIN > ASK_ALL_UP_TO
    assert set(asked.values()) == {f"domain-{number}" for number in range(21)}
    assert asked != known.choose(1.0)
    assert len(set(known.choose_few())) == 2
    known.keep({f"of-p:{number}" for number in range(16)})
    assert known.choose_few() == []


def test_a_round_that_did_not_ask_all_known_peers_counts_for_nothing():
    known = KnownPeers(random.Random(1), ["f:1"], own_address="new:1")
    asked = known.choose(0.0)
    assert asked == {"f:1": ""} and not known.has_reached(asked)
    known.answered("f:1", 0.0)
    known.learn("g:1", "of-g", "huta-b", -5.0)
    known.learn("new:1", "of-new", "huta-a", -1.0)
    assert not known.has_reached(asked)
    asked = known.choose(1.0)
    assert asked == {"f:1": "", "g:1": "huta-b"} and known.has_reached(asked)


def test_a_sole_entry_reaches_all_once_its_seeds_refuse():
    known = KnownPeers(random.Random(1), ["f:1", "new:1"], own_address="new:1")
    assert not known.has_reached({})
    known.refused("f:1", 1.0)
    assert known.choose(2.0) == {"f:1": ""} and known.has_reached({"f:1": ""})
    assert known.choose_among({"f:1": ""}) == {}
    assert not known.has_reached(known.choose(70.0))


def test_a_peer_that_refused_is_not_learned_again_from_old_words():
    known = KnownPeers(random.Random(1))
    known.learn("g:1", "of-g", "huta-b", 0.0)
    known.refused("g:1", 10.0)
    known.learn("g:1", "of-g", "huta-b", 9.0)
    assert len(known) == 0
    known.learn("g:1", "of-g", "huta-b", 11.0)
    assert len(known) == 1


def test_in_a_large_fleet_only_an_asker_that_knows_few_is_told_of_all():
    known = KnownPeers(random.Random(1))
    for number in range(370):
        known.listed(heartbeat(f"p:{number}", f"domain-{number % 21}"), 5.0)
    assert known.told(7.0, 360) == {}
    told = known.told(7.0, 3)
    assert len(told) == 370 and told["p:0"] == ("of-p:0", "domain-0", 2.0)
    assert not known.has_reached({"p:0": "domain-0"})
    assert known.has_reached(known.choose(7.0))
