"""Tests of the router's decisions on a manual clock."""

import random

from hickoryloom.admission import Request
from hickoryloom.clock import ManualClock
from hickoryloom.routing import (
    AttemptEnd,
    AttemptOutcome,
    BackendView,
    LoadReport,
    Router,
)


def view(id, failure_domain="huta-a", **fields):
    return BackendView(id=id, address=f"{id}:1", failure_domain=failure_domain, pool="p", **fields)


def request(**fields):
    return Request("r", "c", "assistant", "p", "guest", 1, True, 0.0, 10.0, **fields)


def build_router(*views, seed=1):
    clock = ManualClock(100.0)
    router = Router(clock, random.Random(seed), "huta-a")
    router.set_views(views)
    clock.advance(60.0)
    return router, clock


def outcome(end, started, finished):
    return AttemptOutcome(end, started, finished)


def test_no_choice_without_backend_servers():
    router, _ = build_router()
    assert router.choose(request()) is None


def test_a_leaving_backend_server_is_never_chosen():
    router, _ = build_router(view("a"), view("b", leaving=True))
    assert {router.choose(request()).backend.id for _ in range(50)} == {"a"}
    assert router.choose(request(), frozenset(["a"])) is None


def test_tried_backend_servers_are_excluded():
    router, _ = build_router(view("a"), view("b"))
    assert {router.choose(request(), frozenset(["a"])).backend.id for _ in range(50)} == {"b"}


def test_the_shorter_expected_wait_is_preferred():
    router, clock = build_router(view("a"), view("b"))
    router.apply_load_report("a", LoadReport(30, 30, 0.0, clock.monotonic()))
    router.apply_load_report("b", LoadReport(0, 0, 1.0, clock.monotonic()))
    counts = [router.choose(request()).backend.id for _ in range(200)]
    assert counts.count("b") > counts.count("a")


def test_own_failure_domain_is_preferred_when_waits_are_equal():
    router, _ = build_router(view("far", "sklad-c"), view("near"))
    assert {router.choose(request()).backend.id for _ in range(50)} == {"near"}


def test_failures_eject_and_a_single_probe_restores():
    router, clock = build_router(view("a"), view("b"))
    choice = router.choose(request(), frozenset(["b"]))
    for _ in range(3):
        started = router.start_attempt(choice, request())
        router.finish_attempt(
            choice, request(), outcome(AttemptEnd.FAILED, started, clock.monotonic())
        )
    assert {router.choose(request()).backend.id for _ in range(50)} == {"b"}
    clock.advance(6.0)
    probe = next(c for c in (router.choose(request()) for _ in range(50)) if c.backend.id == "a")
    started = router.start_attempt(probe, request())
    assert {router.choose(request()).backend.id for _ in range(50)} == {"b"}
    router.finish_attempt(probe, request(), outcome(AttemptEnd.DONE, started, clock.monotonic()))
    clock.advance(20.0)
    assert {router.choose(request()).backend.id for _ in range(50)} == {"a", "b"}


def test_retry_budget_limits_the_number_of_retries():
    router, _ = build_router(view("a"))
    while router.try_withdraw_retry(request()):
        pass
    for _ in range(1000):
        router.deposit_retry(request())
    retries = 0
    while router.try_withdraw_retry(request()):
        retries += 1
    assert retries <= 20
