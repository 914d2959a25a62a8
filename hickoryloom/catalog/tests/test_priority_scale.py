import attrs
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.catalog import (
    ENGINE_PRIORITIES,
    Catalog,
    Customer,
    RequestKind,
    Route,
    Target,
    build_priority_scale,
)

PRIORITIES = st.one_of(st.none(), st.integers(0, 30))


def route(priority):
    return Route(
        f"r{priority}", "h", "/", RequestKind.STREAM, 4.0, 0.4, (Target("s"),), priority=priority
    )


def catalog(route_priorities, customer_priorities):
    customers = {
        str(n): Customer(f"c{n}", priority) for n, priority in enumerate(customer_priorities)
    }
    return attrs.evolve(
        Catalog(),
        routes=tuple(route(priority) for priority in route_priorities),
        customers=customers,
    )


def test_customer_priority_comes_first_and_route_priority_breaks_ties():
    scale = build_priority_scale(catalog([0, 1, 2], [0, 1]))
    first, second = Customer("a", 0), Customer("b", 1)
    requests = [(first, 0), (first, 1), (first, 2), (second, 0), (second, 1), (second, 2)]
    priorities = [scale.priority(route(priority), customer) for customer, priority in requests]
    assert priorities == sorted(set(priorities))


def test_route_priority_decides_without_customer_priorities():
    scale = build_priority_scale(catalog([0, 1, 5], [None]))
    customer = Customer("a", None)
    assert [scale.priority(route(priority), customer) for priority in (0, 1, 5)] == [0, 1, 2]
    assert [scale.priority(route(priority), None) for priority in (0, 1, 5)] == [0, 1, 2]


@given(
    route_priorities=st.lists(st.integers(0, 12), min_size=1, max_size=6),
    customer_priorities=st.lists(PRIORITIES, max_size=12),
)
def test_no_request_is_ranked_before_a_more_urgent_one(route_priorities, customer_priorities):
    generated = catalog(route_priorities, customer_priorities)
    scale = build_priority_scale(generated)
    requests = [
        (
            customer.priority if customer.priority is not None else some_route.priority,
            some_route,
            customer,
        )
        for customer in generated.customers.values()
        for some_route in generated.routes
    ]
    for priority, some_route, customer in requests:
        engine_priority = scale.priority(some_route, customer)
        assert 0 <= engine_priority < ENGINE_PRIORITIES
        for other_priority, other_route, other_customer in requests:
            if priority < other_priority:
                assert engine_priority <= scale.priority(other_route, other_customer)


def test_an_empty_catalog_has_a_scale():
    assert build_priority_scale(Catalog()).priority(route(3), None) == 0
