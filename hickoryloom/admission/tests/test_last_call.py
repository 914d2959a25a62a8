"""Preemption of a lower tier for a request that is still queued shortly before its deadline."""

from hickoryloom.admission.tests.cluster import Cluster

SLACK_S = 1.0


def fill_with_low(cluster, node):
    while len(node.running) < cluster.slots:
        before = len(node.running)
        cluster.arrive(node, "low", 4.0)
        if len(node.running) == before:
            break


def learn_short_answers(cluster, node):
    for _ in range(30):
        cluster.arrive(node, "high", SLACK_S)
        cluster.finish(node, node.running[-1], tokens=1)


def test_a_lower_tier_is_preempted_when_the_wait_was_underestimated():
    cluster = Cluster(1)
    node = cluster.nodes[0]
    learn_short_answers(cluster, node)
    fill_with_low(cluster, node)
    room = cluster.slots - len(node.running)
    requests = [cluster.arrive(node, "high", SLACK_S) for _ in range(room + 3)]
    cluster.clock.advance(0.9 * SLACK_S)
    cluster.apply(node, node.admission.dispatch_due(cluster.now))
    started = {admitted.request.id for _, _, admitted in cluster.starts}
    assert {request.id for request in requests} <= started
    assert not cluster.refusals


def test_the_same_or_a_higher_tier_is_not_preempted():
    cluster = Cluster(1)
    node = cluster.nodes[0]
    while len(node.running) < cluster.slots:
        before = len(node.running)
        cluster.arrive(node, "high", 60.0)
        if len(node.running) == before:
            break
    running_before = list(node.running)
    cluster.arrive(node, "high", SLACK_S)
    cluster.clock.advance(0.9 * SLACK_S)
    cluster.apply(node, node.admission.dispatch_due(cluster.now))
    assert node.running == running_before


def test_next_wake_includes_what_became_due_after_the_last_dispatch():
    cluster = Cluster(1)
    node = cluster.nodes[0]
    fill_with_low(cluster, node)
    room = cluster.slots - len(node.running)
    for _ in range(room):
        cluster.arrive(node, "high", 60.0)
    for _ in range(2):
        cluster.clock.advance(0.002)
        cluster.arrive(node, "high", SLACK_S)
    first = node.admission.next_wake()
    assert cluster.now < first <= cluster.now + SLACK_S
    cluster.clock.now = first
    cluster.apply(node, node.admission.dispatch_due(cluster.now))
    cluster.clock.advance(0.1)
    assert node.admission.next_wake() <= cluster.now
