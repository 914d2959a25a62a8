"""Simulation of several entries. Tests delay and drop their messages and partition them."""

import random

import attrs

from hickoryloom.admission import AdmissionState, RefusalReason, Request
from hickoryloom.admission.decisions import Preempt, Refuse, Start
from hickoryloom.clock import ManualClock
from hickoryloom.configuration import Customer, Pool, PoolKind, RequestClass, Snapshot
from hickoryloom.membership.messages import Heartbeat, Presence
from hickoryloom.membership.state import MembershipState
from hickoryloom.relay.messages import Outcome
from hickoryloom.routing.messages import BackendView
from hickoryloom.store.messages import Listing, Versioned
from hickoryloom.verdict import Verdict

SLOTS = 12
POOL = "p"
TICK_S = 1e-6
TIER_ORDERED_REASONS = (
    RefusalReason.OVERLOAD,
    RefusalReason.EXPECTED_LATE,
    RefusalReason.NO_BACKEND,
)
CLASSES = {
    "high": RequestClass("high", 1, 1000, 50),
    "mid": RequestClass("mid", 2, 2000, 50, reserve=0.1),
    "low": RequestClass("low", 3, 4000, 50, reserve=0.1),
}

CUSTOMERS = (Customer("c", tuple(CLASSES)),)


def snapshot(customers=()):
    return Snapshot(
        generation=1,
        pools={POOL: Pool(POOL, PoolKind.ENGINE, slots=4)},
        classes=CLASSES,
        customers={customer.name: customer for customer in customers},
    )


@attrs.define(eq=False)
class Node:
    """An entry with its running requests and the messages that wait while it is suspended."""

    name: str
    admission: AdmissionState
    members: MembershipState
    running: list = attrs.field(factory=list)
    undelivered: list = attrs.field(factory=list)
    suspended: bool = False
    renewals: int = 0


class Cluster:
    """Entries that share one clock.

    Each step advances the clock by `TICK_S`, so that no two events have the same time.
    """

    def __init__(self, count, customers=CUSTOMERS, slots=SLOTS):
        self.clock = ManualClock(now=100.0)
        self.slots = slots
        self.in_transit = []
        self.partitions = set()
        self.starts = []
        self.refusals = []
        self.on_refuse = lambda node, refuse: None
        self.on_start = lambda node, start: None
        self._numbers = iter(range(10**9))
        self.nodes = [self._build(f"e{number}", customers) for number in range(count)]
        for node in self.nodes:
            node.members.apply_listing(self._presence(), self.now)
            self._refresh(node)

    @property
    def now(self):
        return self.clock.now

    def in_flight(self):
        return sum(len(node.running) for node in self.nodes)

    def _build(self, name, customers):
        admission = AdmissionState(name, random.Random(name))
        admission.set_snapshot(snapshot(customers), self.now)
        views = [BackendView("b", "", "d", POOL, slots=self.slots)]
        admission.set_backends(views, self.now)
        admission.dispatch(POOL, self.now)
        return Node(name, admission, MembershipState(name))

    def _presence(self):
        return Listing(
            1,
            tuple(
                Versioned(f"presence/{n.name}", n.renewals + 1, attrs.asdict(presence_of(n)))
                for n in self.nodes
            ),
        )

    def join(self, name, customers=CUSTOMERS):
        """Start another entry, which publishes its presence and lists that of the others."""
        node = self._build(name, customers)
        self.nodes.append(node)
        node.members.apply_listing(self._presence(), self.now)
        self._refresh(node)
        return node

    def step(self):
        self.clock.advance(TICK_S)

    def arrive(self, node, request_class, slack_s, customer="c"):
        self.step()
        declared = CLASSES[request_class]
        request = Request(
            f"r{next(self._numbers)}",
            customer,
            "m",
            POOL,
            request_class,
            declared.tier,
            True,
            self.now,
            self.now + slack_s,
        )
        node.admission.submit(request, self.now)
        self.apply(node, node.admission.dispatch(POOL, self.now))
        return request

    def finish(self, node, admitted, tokens=10):
        self.step()
        node.running.remove(admitted)
        outcome = Outcome(Verdict.RAN, True, output_tokens=tokens)
        self.apply(node, node.admission.finish(admitted, outcome, self.now))

    def apply(self, node, decisions):
        for decision in decisions:
            if isinstance(decision, Start):
                node.running.append(decision.admitted)
                self.starts.append((self.now, node.name, decision.admitted))
                self.on_start(node, decision)
            elif isinstance(decision, Refuse):
                self.refusals.append((self.now, node.name, decision))
                self.on_refuse(node, decision)
        for decision in decisions:
            if isinstance(decision, Preempt):
                self.finish(node, decision.admitted)

    def send(self, sender, receiver):
        self.step()
        if sender.suspended:
            return
        built = Heartbeat(
            sender.name, "", "d", 1, 0, 0.0, pools=sender.admission.summaries(self.now)
        )
        numbered = sender.members.assign_sequence(built, self.now)
        outgoing = sender.members.add_acknowledgement(numbered, receiver.name)
        if frozenset((sender.name, receiver.name)) not in self.partitions:
            self.in_transit.append((receiver, outgoing))

    def deliver(self, index):
        self.step()
        receiver, heartbeat = self.in_transit.pop(index % len(self.in_transit))
        if receiver.suspended:
            receiver.undelivered.append(heartbeat)
            return
        self._receive(receiver, heartbeat)

    def deliver_all(self):
        while self.in_transit:
            self.deliver(0)

    def exchange_all(self):
        for sender in self.nodes:
            for receiver in self.nodes:
                if receiver is not sender:
                    self.send(sender, receiver)
        self.deliver_all()

    def resume(self, node):
        self.step()
        node.suspended = False
        undelivered, node.undelivered = node.undelivered, []
        for heartbeat in undelivered:
            self._receive(node, heartbeat)
        self.tick(node)

    def advance(self, seconds, renew=True):
        self.clock.advance(seconds)
        for node in self.nodes:
            if not node.suspended:
                node.renewals += 1
        for node in self.nodes:
            if node.suspended:
                continue
            if renew:
                node.members.apply_listing(self._presence(), self.now)
            node.members.remove_ended(self.now)
            self._refresh(node)
            self.tick(node)

    def tick(self, node):
        self.apply(node, node.admission.dispatch_due(self.now))

    def _receive(self, node, heartbeat):
        if node.members.apply_heartbeat(heartbeat, self.now):
            self._refresh(node)

    def _refresh(self, node):
        peers = node.members.live(self.now)
        missing = node.members.missing(self.now)
        self.apply(node, node.admission.set_peers(peers, self.now, missing))


def presence_of(node):
    return Presence(node.name, f"{node.name}:1", "d")
