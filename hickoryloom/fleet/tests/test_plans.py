"""Targets, plans, forecast and back-off of the fleet planner."""

import random

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.configuration import Pool, PoolKind
from hickoryloom.fleet import (
    Need,
    PoolPlanner,
    ServerState,
    ServerView,
    Site,
    TierDemand,
    choose_targets,
    lower_tiers_of,
    plan_changes,
    redundant_server_count,
)
from hickoryloom.fleet.backoff import INITIAL_BACKOFF_S, MAX_BACKOFF_S, SiteBackoff

DOMAINS = ("huta-a", "huta-b", "sklad-c")
NONE: frozenset[int] = frozenset()


def make_pool(domains=DOMAINS, cheap=True, max_servers=100, min_servers=0, slots=8):
    return Pool(
        "assistant",
        PoolKind.ENGINE,
        model="m",
        slots=slots,
        failure_domains=domains,
        min_servers=min_servers,
        max_servers=max_servers,
        cheap=cheap,
        load_s=30.0,
    )


def running(site, count, start=0):
    return [ServerView(f"{site}-{n}", site, ServerState.RUNNING) for n in range(start, count)]


needs = st.builds(Need, st.floats(0, 400), st.floats(0, 400))
domain_lists = st.integers(2, 6).map(lambda n: tuple(f"d{i}" for i in range(n)))
sites = st.builds(Site, st.sampled_from([f"d{i}" for i in range(6)]), st.booleans())


@given(needs, domain_lists, st.frozensets(sites, max_size=4), st.integers(1, 12))
def test_upper_need_survives_the_loss_of_one_domain_and_all_cheap_servers(
    need, domains, blocked, slots
):
    pool = make_pool(domains, max_servers=10_000, slots=slots)
    targets = choose_targets(pool, need, blocked, {})
    available = {name for name in domains if Site(name, False) not in blocked}
    if len(available) < 2:
        return
    for lost in domains:
        remaining = sum(
            count
            for site, count in targets.items()
            if not site.cheap and site.failure_domain != lost
        )
        assert remaining * slots >= need.upper - 1e-9


@given(needs, domain_lists, st.frozensets(sites, max_size=6), st.integers(1, 60))
def test_targets_stay_within_max_servers_and_otherwise_cover_the_need(
    need, domains, blocked, max_servers
):
    pool = make_pool(domains, max_servers=max_servers)
    targets = choose_targets(pool, need, blocked, {})
    total = sum(targets.values())
    assert total <= max_servers
    assert not set(targets) & blocked
    ordinary_available = any(Site(name, False) not in blocked for name in domains)
    if total < max_servers and ordinary_available:
        assert total * pool.slots >= need.upper + need.lower - 2 * pool.slots


def test_lower_tiers_use_ordinary_servers_while_no_cheap_ones_are_available():
    pool, need = make_pool(), Need(upper=32, lower=64)
    targets = choose_targets(pool, need, frozenset(), {})
    assert sum(n for site, n in targets.items() if site.cheap) == 6
    none_cheap = frozenset(Site(name, True) for name in DOMAINS)
    targets = choose_targets(pool, need, none_cheap, {})
    assert sum(targets.values()) == 12


def test_lower_tiers_are_the_resumable_tiers_below_the_highest():
    assert lower_tiers_of({1, 2, 3, 4}, {3}) == {2, 4}
    assert lower_tiers_of({2, 3}, {1}) == {3}
    assert lower_tiers_of({2}, ()) == frozenset()
    assert lower_tiers_of((), {1}) == frozenset()


def test_redundant_server_count_is_minimal():
    for needed in range(1, 40):
        for domains in range(2, 7):
            total = redundant_server_count(needed, domains)
            assert total - -(-total // domains) >= needed
            assert total - 1 - -(-(total - 1) // domains) < needed


def test_plan_orders_within_the_limit_and_releases_nothing_while_servers_are_missing():
    a, b = Site("a", False), Site("b", False)
    servers = running(b, 9)
    orders, releases = plan_changes({a: 5, b: 2}, {a: 5, b: 2}, servers, 3)
    assert orders == (a, a, a)
    assert releases == ()


def test_fixed_servers_are_never_released():
    site = Site("a", False)
    servers = [ServerView(f"s{n}", site, ServerState.RUNNING, fixed=True) for n in range(4)]
    assert plan_changes({site: 0}, {site: 0}, servers, 4) == ((), ())


def test_scale_down_waits_until_the_need_was_lower_for_the_whole_delay():
    planner, pool = PoolPlanner(random.Random(1)), make_pool()
    busy = {1: TierDemand(in_flight=60, arrivals_per_s=6.0, busy_s=10.0)}
    needed = planner.plan(0.0, pool, busy, NONE, []).targets
    servers = [server for site, count in needed.items() for server in running(site, count)]
    assert len(servers) > 10
    released_at = None
    for now in range(2, 900, 2):
        planned = planner.plan(float(now), pool, {}, NONE, servers)
        if planned.releases and released_at is None:
            released_at = now
    assert released_at is not None and released_at > 300


def test_new_planner_releases_nothing_within_the_scale_down_delay():
    planner, pool = PoolPlanner(random.Random(1)), make_pool()
    servers = running(Site("huta-a", False), 9)
    for now in range(0, 260, 5):
        assert planner.plan(float(now), pool, {}, NONE, servers).releases == ()


def test_rising_demand_is_forecast_over_the_load_time_of_a_server():
    planner, pool = PoolPlanner(random.Random(1)), make_pool()
    for now in range(0, 120, 2):
        demand = {1: TierDemand(arrivals_per_s=0.05 * now, busy_s=10.0)}
        planned = planner.plan(float(now), pool, demand, NONE, [])
    expected_at_start = 0.05 * (118 + pool.load_s) * 10.0
    assert planned.need.upper >= expected_at_start


def test_missed_targets_raise_the_need_and_met_targets_let_it_decay():
    planner, pool = PoolPlanner(random.Random(1)), make_pool()

    def need_after(missed, start):
        for now in range(start, start + 40, 2):
            demand = {1: TierDemand(arrivals_per_s=4.0, busy_s=10.0, missed_part=missed)}
            planned = planner.plan(float(now), pool, demand, NONE, [])
        return planned.need.upper

    baseline = need_after(0.0, 0)
    missed = need_after(0.3, 40)
    assert missed > 1.5 * baseline
    for start in range(80, 400, 40):
        after = need_after(0.0, start)
    assert after < 1.1 * baseline


def test_backoff_doubles_up_to_a_limit_and_ends_on_success():
    backoff, site = SiteBackoff(random.Random(1)), Site("a", True)
    now, waits = 0.0, []
    for _ in range(10):
        backoff.on_no_capacity(now, site)
        start = now
        while site in backoff.blocked(now):
            now += 1.0
        waits.append(now - start)
    assert waits[0] >= INITIAL_BACKOFF_S
    assert all(later >= earlier for earlier, later in zip(waits[:5], waits[1:6], strict=True))
    assert max(waits) <= 1.2 * MAX_BACKOFF_S + 1
    backoff.on_capacity(site)
    assert backoff.blocked(now) == frozenset()
