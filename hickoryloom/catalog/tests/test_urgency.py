import attrs
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.catalog import (
    ENGINE_RANKS,
    Catalog,
    Customer,
    RequestKind,
    Route,
    Target,
    build_urgency_scale,
)

PRIORITIES = st.one_of(st.none(), st.integers(0, 30))


def route(rank):
    return Route(f"r{rank}", "h", "/", RequestKind.STREAM, 4.0, 0.4, (Target("s"),), priority=rank)


def catalog(ranks, priorities):
    customers = {str(n): Customer(f"c{n}", priority) for n, priority in enumerate(priorities)}
    return attrs.evolve(Catalog(), routes=tuple(route(rank) for rank in ranks), customers=customers)


def test_a_customer_s_priority_goes_first_and_the_route_decides_among_equals():
    scale = build_urgency_scale(catalog([0, 1, 2], [0, 1]))
    first, second = Customer("a", 0), Customer("b", 1)
    asked = [(first, 0), (first, 1), (first, 2), (second, 0), (second, 1), (second, 2)]
    ranks = [scale.rank(route(rank), customer) for customer, rank in asked]
    assert ranks == sorted(set(ranks))


def test_without_priorities_the_route_s_rank_decides():
    scale = build_urgency_scale(catalog([0, 1, 5], [None]))
    customer = Customer("a", None)
    assert [scale.rank(route(rank), customer) for rank in (0, 1, 5)] == [0, 1, 2]
    assert [scale.rank(route(rank), None) for rank in (0, 1, 5)] == [0, 1, 2]


@given(
    ranks=st.lists(st.integers(0, 12), min_size=1, max_size=6),
    priorities=st.lists(PRIORITIES, max_size=12),
)
def test_no_request_gets_before_a_more_urgent_one(ranks, priorities):
    found = catalog(ranks, priorities)
    scale = build_urgency_scale(found)
    asked = [
        (customer.priority if customer.priority is not None else one.priority, one, customer)
        for customer in found.customers.values()
        for one in found.routes
    ]
    for urgency, one, customer in asked:
        rank = scale.rank(one, customer)
        assert 0 <= rank < ENGINE_RANKS
        for other_urgency, other, other_customer in asked:
            if urgency < other_urgency:
                assert rank <= scale.rank(other, other_customer)


def test_an_empty_catalog_has_a_scale():
    assert build_urgency_scale(Catalog()).rank(route(3), None) == 0
