"""Peers of each entry process, for few and for many entry processes."""

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.membership.topology import MESH_LIMIT, choose_aggregator, plan_topology

POOLS = [f"pool-{number}" for number in range(5)]
names = st.integers(0, 400).map(lambda number: f"entry-{number}")
fleets = st.dictionaries(names, st.sampled_from(["r1", "r2", "r3"]), min_size=1, max_size=60)


@given(fleets)
def test_peers_are_mutual_and_few_entries_form_a_mesh(regions):
    plans = {name: plan_topology(name, regions, POOLS) for name in regions}
    for name, plan in plans.items():
        assert name not in plan.peers
        assert all(name in plans[peer].peers for peer in plan.peers)
        if len(regions) <= MESH_LIMIT:
            assert plan.mesh and plan.peers == regions.keys() - {name}


@given(fleets)
def test_each_pool_has_one_aggregator_in_each_region(regions):
    plans = {name: plan_topology(name, regions, POOLS) for name in regions}
    if len(regions) <= MESH_LIMIT:
        return
    for pool in POOLS:
        for region in set(regions.values()):
            aggregators = [
                n for n, p in plans.items() if regions[n] == region and pool in p.aggregates
            ]
            assert len(aggregators) == 1


@given(st.sets(names, min_size=2, max_size=50), st.sampled_from(POOLS))
def test_the_loss_of_an_entry_moves_only_the_pools_it_aggregated(entries, pool):
    aggregator = choose_aggregator(pool, "r", entries)
    for lost in entries - {aggregator}:
        assert choose_aggregator(pool, "r", entries - {lost}) == aggregator


def test_peer_counts_at_the_planned_size():
    regions = {f"entry-{number}": f"r{number % 8}" for number in range(370)}
    plans = [plan_topology(name, regions, POOLS) for name in regions]
    other_counts = [len(plan.peers) for plan in plans if not plan.aggregates]
    aggregators = [len(plan.peers) for plan in plans if plan.aggregates]
    assert max(other_counts) <= len(POOLS)
    assert max(aggregators) <= 47 + len(POOLS) * 8
