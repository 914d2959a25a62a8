"""The platform client against the platform's stand-in over HTTP."""

import time
from random import Random

import attrs
import gevent
import pytest

from hickoryloom.clock import SystemClock
from hickoryloom.http import JsonClient
from hickoryloom.standins import build_platform
from hickoryloom.store import (
    CallBudget,
    CallKind,
    ErrorKind,
    PlatformClient,
    ServerOrder,
    ServerRelease,
    UsageReport,
    confirmed_update,
)
from hickoryloom.verdict import Applied

ROW = {"id": "e1", "address": "127.0.0.1:1", "failure_domain": "huta-a", "pool": "p"}


@pytest.fixture
def platform():
    platform = build_platform()
    platform.start()
    yield platform
    platform.stop()


@pytest.fixture
def client(platform):
    clock = SystemClock()
    budget = CallBudget(clock.monotonic(), processes=1)
    client = PlatformClient(platform.address, clock, budget, Random(1))
    yield client
    client.close()


def set_fault(platform, **switches):
    response = JsonClient(platform.address).call("POST", "/standin/faults", switches).unwrap()
    assert response.status == 200, response.body


def test_conditional_writes_of_versioned_objects(client):
    assert client.create("a/x y", {"n": 1}).unwrap().version == 1
    conflict = client.create("a/x y", {"n": 2}).unwrap_err()
    assert (conflict.kind, conflict.version) == (ErrorKind.CONFLICT, 1)
    assert client.update("a/x y", {"n": 2}, 1).unwrap().version == 2
    assert client.update("a/x y", {"n": 3}, 1).unwrap_err().kind is ErrorKind.CONFLICT
    assert client.get("a/x y").unwrap().value == {"n": 2}
    assert [item.key for item in client.list("a/").unwrap().items] == ["a/x y"]
    assert client.delete("a/x y", 1).unwrap_err().kind is ErrorKind.CONFLICT
    client.delete("a/x y", 2).unwrap()
    assert client.get("a/x y").unwrap_err().kind is ErrorKind.ABSENT
    assert client.create("a/x y", {"n": 4}).unwrap().version > 2


def test_watch_returns_on_a_change_or_after_its_timeout(client):
    revision = client.list("w/").unwrap().revision
    task = gevent.spawn(client.watch, "w/", revision, 5.0)
    gevent.sleep(0.1)
    client.create("other", 1)
    client.create("w/1", {"n": 1})
    batch = task.get(timeout=3).unwrap()
    assert [(change.key, change.value) for change in batch.changes] == [("w/1", {"n": 1})]
    assert client.watch("w/", batch.revision, 0.1).unwrap().changes == ()
    assert client.watch("w/", 10_000, 0.1).unwrap().reset
    assert client.budget.watches == 0


def test_orders_are_idempotent_and_fenced_and_report_missing_capacity(platform, client):
    http = JsonClient(platform.address)
    http.call("POST", "/standin/backends", {**ROW, "spare": True}).unwrap()
    order = ServerOrder("o1", "p", "huta-a", False, 2, "c1")
    assert client.order(order).unwrap() == "e1"
    assert client.order(order).unwrap() == "e1"
    assert [row.id for row in client.list_backends().unwrap()] == ["e1"]
    old = ServerOrder("o2", "p", "huta-a", False, 1, "c2")
    assert client.order(old).unwrap_err().kind is ErrorKind.FENCED
    new = ServerOrder("o3", "p", "huta-a", False, 3, "c2")
    assert client.order(new).unwrap_err().kind is ErrorKind.NO_CAPACITY
    client.release(ServerRelease("r1", "e1", 3, "c2")).unwrap()
    assert client.list_backends().unwrap() == ()
    assert client.order(new).unwrap() == "e1"
    results = [entry["result"] for entry in platform.journal]
    assert results == ["taken", "taken", "fenced", "no-capacity", "taken", "taken"]


def test_a_usage_window_accepts_only_one_set_of_figures(client):
    report = UsageReport("w1", {"a": 1}, "d1", 1, "c1")
    client.report(report).unwrap()
    client.report(report).unwrap()
    other = UsageReport("w1", {"a": 2}, "d2", 2, "c2")
    assert client.report(other).unwrap_err().kind is ErrorKind.CONFLICT
    assert client.report(attrs.evolve(report, fencing=1)).unwrap_err().kind is ErrorKind.FENCED


def test_weight_store_returns_a_retry_delay(platform, client):
    set_fault(platform, weights_per_minute=30)
    assert client.request_weights("m/1").unwrap().model == "m/1"
    refused = client.request_weights("m/1").unwrap_err()
    assert refused.kind is ErrorKind.REJECTED
    assert 0 < refused.retry_after_s <= 2


def test_live_list_lags_behind_and_cheap_capacity_is_reclaimed(platform, client):
    http = JsonClient(platform.address)
    http.call("POST", "/standin/backends", {**ROW, "cheap": True}).unwrap()
    set_fault(platform, reclaim="huta-a", reclaim_notice_s=0.3)
    assert [row.state.value for row in client.list_backends().unwrap()] == ["leaving"]
    set_fault(platform, live_lag_s=30)
    assert client.list_backends().unwrap() == ()
    set_fault(platform, live_lag_s=0)
    gevent.sleep(0.4)
    assert client.list_backends().unwrap() == ()


def test_a_write_refused_by_its_guard_is_not_sent(platform, client):
    refused = client.create("g", 1, guard=lambda: False).unwrap_err()
    assert (refused.kind, refused.applied) == (ErrorKind.REJECTED, Applied.NOT_APPLIED)
    assert platform.calls["create"] == 0
    assert client.create("g", 1, guard=lambda: True).is_ok()


@pytest.mark.parametrize("outage", ["error", "cut"])
def test_result_of_a_write_in_an_outage_is_unknown_and_of_a_read_is_not(platform, client, outage):
    set_fault(platform, outage=outage)
    failed = client.create("k", 1).unwrap_err()
    assert (failed.kind, failed.applied) == (ErrorKind.UNAVAILABLE, Applied.UNKNOWN)
    assert client.get("k").unwrap_err().applied is Applied.NOT_APPLIED


def test_result_of_a_write_with_lost_response_is_determined(platform, client):
    set_fault(platform, lose_answers=1)
    assert confirmed_update(client, "k", {"by": "me"}, 0).unwrap().version == 1
    set_fault(platform, lose_answers=1)
    assert confirmed_update(client, "k", {"by": "you"}, 0).unwrap_err().kind is ErrorKind.CONFLICT
    set_fault(platform, lose_answers=2)
    assert confirmed_update(client, "k", {"by": "me", "n": 2}, 1).unwrap().version == 2


def test_a_stale_read_does_not_give_a_wrong_result(platform, client):
    client.create("k", {"by": "other"}).unwrap()
    gevent.sleep(0.2)
    set_fault(platform, lose_answers=1, stale_reads=0.15)
    assert confirmed_update(client, "k", {"by": "me"}, 1).unwrap().value == {"by": "me"}


def test_result_stays_unknown_during_an_outage(platform, client):
    set_fault(platform, outage="cut")
    failed = confirmed_update(client, "k", 1, 0, sleep=lambda s: None).unwrap_err()
    assert failed.applied is Applied.UNKNOWN


def test_listing_presence_objects_sets_the_share_of_the_budget(client):
    for number in range(4):
        client.create(f"presence/p{number}", {"n": number}).unwrap()
    alone = client.budget.rate(CallKind.WRITE)
    client.list("presence/").unwrap()
    assert client.budget.rate(CallKind.WRITE) == alone / 4


def test_a_watch_longer_than_the_call_timeout_gets_a_response(client):
    since = client.list("a/").unwrap().revision
    started_at = time.monotonic()
    batch = client.watch("a/", since, 2.6).unwrap()
    assert batch.changes == () and not batch.reset
    assert 2.5 < time.monotonic() - started_at < 3.6
