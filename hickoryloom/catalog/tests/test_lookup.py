from collections import Counter
from random import Random

from hickoryloom.catalog import (
    Catalog,
    RequestKind,
    Route,
    Target,
    build_route_table,
    choose_service,
)

SINGLE_TARGET = (Target("one"),)


def route(name, host, prefix, targets=SINGLE_TARGET):
    return Route(name, host, prefix, RequestKind.ONCE, 1.0, 1.0, targets)


def test_the_longest_prefix_of_the_host_wins():
    routes = (
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/"),
    )
    table = build_route_table(Catalog(1, routes))
    assert table.find("a.example", "/x/y/z").name == "long"
    assert table.find("A.EXAMPLE", "/x/z").name == "short"
    assert table.find("a.example", "/x") is None
    assert table.find("b.example", "/x/y/").name == "other"
    assert table.find("c.example", "/x/") is None


def test_requests_are_split_by_weight():
    split = route("r", "a", "/", (Target("many", 90), Target("few", 10)))
    rng = Random(1)
    counts = Counter(choose_service(split, rng.random) for _ in range(10_000))
    assert 8_800 < counts["many"] < 9_200
    assert counts["many"] + counts["few"] == 10_000
