"""Partners of each entry, for few and for many."""

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.membership.topology import MESH_LIMIT, choose_aggregator, plan_topology

POOLS = [f"pool-{number}" for number in range(5)]
names = st.integers(0, 400).map(lambda number: f"entry-{number}")
fleets = st.dictionaries(names, st.sampled_from(["r1", "r2", "r3"]), min_size=1, max_size=60)


@given(fleets)
def test_partners_are_mutual_and_a_few_are_a_mesh(regions):
    plans = {name: plan_topology(name, regions, POOLS) for name in regions}
    for name, plan in plans.items():
        assert name not in plan.partners
        assert all(name in plans[partner].partners for partner in plan.partners)
        if len(regions) <= MESH_LIMIT:
            assert plan.mesh and plan.partners == regions.keys() - {name}


@given(fleets)
def test_each_pool_has_one_aggregator_in_each_region(regions):
    plans = {name: plan_topology(name, regions, POOLS) for name in regions}
    if len(regions) <= MESH_LIMIT:
        return
    for pool in POOLS:
        for region in set(regions.values()):
            keepers = [n for n, p in plans.items() if regions[n] == region and pool in p.aggregates]
            assert len(keepers) == 1


@given(st.sets(names, min_size=2, max_size=50), st.sampled_from(POOLS))
def test_the_loss_of_an_entry_moves_only_what_it_kept(entries, pool):
    keeper = choose_aggregator(pool, "r", entries)
    for lost in entries - {keeper}:
        assert choose_aggregator(pool, "r", entries - {lost}) == keeper


def test_partners_at_the_planned_size():
    regions = {f"entry-{number}": f"r{number % 8}" for number in range(370)}
    plans = [plan_topology(name, regions, POOLS) for name in regions]
    plain = [len(plan.partners) for plan in plans if not plan.aggregates]
    keepers = [len(plan.partners) for plan in plans if plan.aggregates]
    assert max(plain) <= len(POOLS)
    assert max(keepers) <= 47 + len(POOLS) * 8
