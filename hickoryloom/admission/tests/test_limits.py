"""Customers' limits across all entries.

The state machine covers message delay and loss, suspended entries, partitions and joins.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hickoryloom.admission import RefusalReason
from hickoryloom.admission.limits import CustomerLimits
from hickoryloom.admission.peers import MISSING_PEER_TIMEOUT_S
from hickoryloom.admission.state import IDLE_REMOVAL_INTERVAL_S
from hickoryloom.admission.tests.cluster import CLASSES, POOL, Cluster
from hickoryloom.configuration import Customer

LIMIT = 8
ENTRIES = 4
CUSTOMERS = (Customer("c", tuple(CLASSES), max_in_flight=LIMIT),)
numbers = st.integers(0, 10**6)


class SharedLimit(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.cluster = Cluster(2, CUSTOMERS, slots=100)
        self.cluster.exchange_all()
        self.cluster.exchange_all()

    def node(self, index):
        return self.cluster.nodes[index % len(self.cluster.nodes)]

    @rule(index=numbers, count=st.integers(1, 6))
    def arrive(self, index, count):
        for _ in range(count):
            if not self.node(index).suspended:
                self.cluster.arrive(self.node(index), "high", 60.0)

    @rule(index=numbers, which=numbers)
    def finish(self, index, which):
        node = self.node(index)
        if node.running and not node.suspended:
            self.cluster.finish(node, node.running[which % len(node.running)])

    @rule(sender=numbers, receiver=numbers)
    def send(self, sender, receiver):
        if self.node(sender) is not self.node(receiver):
            self.cluster.send(self.node(sender), self.node(receiver))

    @rule(index=numbers, lost=st.booleans())
    def deliver(self, index, lost):
        if self.cluster.in_transit and lost:
            self.cluster.in_transit.pop(index % len(self.cluster.in_transit))
        elif self.cluster.in_transit:
            self.cluster.deliver(index)

    @rule(rounds=st.integers(1, 3))
    def exchange(self, rounds):
        for _ in range(rounds):
            self.cluster.exchange_all()

    @rule(seconds=st.sampled_from((0.3, 1.0, 3.2, 12.0)))
    def advance(self, seconds):
        self.cluster.advance(seconds)

    @rule(index=numbers)
    def suspend(self, index):
        """Finish the running requests first: a suspended entry has none that continue."""
        node = self.node(index)
        for admitted in list(node.running):
            self.cluster.finish(node, admitted)
        if not node.running:
            node.suspended = True

    @rule(index=numbers)
    def resume(self, index):
        if self.node(index).suspended:
            self.cluster.resume(self.node(index))

    @rule(one=numbers, other=numbers)
    def partition(self, one, other):
        names = frozenset((self.node(one).name, self.node(other).name))
        if len(names) == 2:
            self.cluster.partitions.add(names)

    @rule()
    def heal(self):
        self.cluster.partitions.clear()

    @rule()
    def join(self):
        if len(self.cluster.nodes) < ENTRIES:
            self.cluster.join(f"e{len(self.cluster.nodes)}", CUSTOMERS)

    @invariant()
    def limit_holds_over_all_entries(self):
        assert self.cluster.in_flight() <= LIMIT


TestSharedLimit = SharedLimit.TestCase
TestSharedLimit.settings = settings(max_examples=150, stateful_step_count=30)


def test_a_joining_entry_does_not_exceed_the_limit_of_requests_in_flight():
    """A joining entry gets its share while others still run requests from their larger shares."""
    machine = SharedLimit()
    machine.arrive(index=1, count=1)
    machine.join()
    machine.arrive(index=1, count=3)
    machine.arrive(index=0, count=4)
    machine.exchange(rounds=2)
    machine.arrive(index=2, count=1)
    machine.limit_holds_over_all_entries()


def test_tokens_of_all_entries_stay_within_the_limit():
    entries = ("a", "b", "c")
    per_entry = [CustomerLimits(name) for name in entries]
    for limits in per_entry:
        limits.set_customers({"c": Customer("c", (), tokens_per_minute=6000)})
        limits.set_entries(entries, True)
    spent = 0.0
    for second in range(600):
        for limits in per_entry:
            while limits.may_start("c", float(second)):
                limits.started("c", 50.0, float(second))
                limits.finished("c", 10.0, float(second))
                spent += 60.0
    allowed = 6000 * (600 / 60 + 1) + len(entries) * 60.0
    assert 0.9 * allowed <= spent <= allowed


def test_no_request_starts_until_an_overdraft_is_refilled():
    limits = CustomerLimits("a")
    limits.set_customers({"c": Customer("c", (), tokens_per_minute=600)})
    limits.started("c", 100.0, 0.0)
    limits.finished("c", 1000.0, 0.0)
    assert not limits.may_start("c", 49.0)
    assert limits.may_start("c", 51.0)


def test_a_request_over_the_customer_limit_is_refused_at_once():
    cluster = Cluster(1, (Customer("c", tuple(CLASSES), tokens_per_minute=60),), slots=100)
    node = cluster.nodes[0]
    while not cluster.refusals:
        cluster.arrive(node, "high", 1.0)
    refused = cluster.refusals[0][2].refused
    assert refused.reason is RefusalReason.CUSTOMER_LIMIT
    assert refused.retry_after_s > 1.0


def test_a_resumed_entry_starts_nothing_until_its_peers_acknowledge_it():
    cluster = Cluster(2, CUSTOMERS, slots=100)
    cluster.exchange_all()
    cluster.exchange_all()
    other, stopped = cluster.nodes
    cluster.arrive(stopped, "high", 60.0)
    cluster.finish(stopped, stopped.running[0])
    stopped.suspended = True
    for _ in range(4):
        cluster.advance(12.0)
    for _ in range(LIMIT):
        cluster.arrive(other, "high", 60.0)
    assert cluster.in_flight() == LIMIT
    cluster.step()
    stopped.suspended = False
    cluster.arrive(stopped, "high", 60.0)
    assert cluster.in_flight() == LIMIT
    while other.running:
        cluster.finish(other, other.running[0])
    cluster.exchange_all()
    cluster.exchange_all()
    assert len(stopped.running) == 1


def test_a_limit_introduced_while_requests_run_counts_them():
    limits = CustomerLimits("a")
    limits.set_customers({"c": Customer("c", ())})
    for _ in range(3):
        limits.started("c", 1.0, 0.0)
    limits.set_customers({"c": Customer("c", (), max_in_flight=2)})
    limits.finished("c", 0.0, 1.0)
    assert not limits.may_start("c", 1.0)
    limits.finished("c", 0.0, 2.0)
    assert limits.may_start("c", 2.0)
    limits.started("c", 1.0, 2.0)
    assert not limits.may_start("c", 2.0)


def test_state_of_idle_customers_is_removed():
    customers = tuple(Customer(f"c{n}", tuple(CLASSES), max_in_flight=2) for n in range(50))
    cluster = Cluster(1, customers, slots=100)
    node = cluster.nodes[0]
    for customer in customers:
        cluster.arrive(node, "high", 60.0, customer.name)
    for admitted in list(node.running)[:-1]:
        cluster.finish(node, admitted)
    # Later requests of others use up what a customer has been charged for fairness.
    for _ in range(5):
        cluster.arrive(node, "high", 60.0, customers[-1].name)
        cluster.finish(node, node.running[-1])
    cluster.advance(IDLE_REMOVAL_INTERVAL_S + 1.0)
    node.admission.set_peers((), cluster.now)
    assert list(node.admission._limits._shares) == [customers[-1].name]
    queues = node.admission.pools[POOL]._queues
    assert [list(queue.queue._flows) for queue in queues] == [[customers[-1].name]]


def test_a_missing_peer_expires_without_another_event():
    cluster = Cluster(2, CUSTOMERS, slots=100)
    cluster.exchange_all()
    node = cluster.nodes[0]
    node.admission.set_peers((), cluster.now)
    assert node.admission.next_wake() <= cluster.now + MISSING_PEER_TIMEOUT_S
