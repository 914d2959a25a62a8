"""Final counts that other instances hold while the store rejects calls, without a network."""

import io
import json
from random import Random

import gevent
import pytest
from result import Err, Ok

from hickoryloom.clock import SystemClock
from hickoryloom.http import CallError, JsonResponse
from hickoryloom.leases.tests.fakes import MemoryStore
from hickoryloom.metering import CountsCustody, InstanceCounts, MeterTask, UsageMeter
from hickoryloom.verdict import Applied

KEY = "counts/a-1"
COUNTS = InstanceCounts(1.0, {"7": {"one": 3}}, final=True)


class Fleet:
    """Instances by address, and which of them can't be reached or run the previous version."""

    def __init__(self, size=4):
        self.store = MemoryStore(down=True)
        self.ended = set()
        self.older = set()
        addresses = [f"h{number}:1" for number in range(size)]
        self.custodies = {
            address: CountsCustody(
                self.store,
                lambda address=address: [other for other in addresses if other != address],
                Random(number),
                lambda to: Link(self, to),
            )
            for number, address in enumerate(addresses)
        }

    def holders(self):
        return {address for address, custody in self.custodies.items() if custody.held}


class Link:
    """Client of one instance."""

    def __init__(self, fleet, address):
        self.fleet, self.address = fleet, address

    def call(self, method, path, body=None, timeout_s=None):
        if self.address in self.fleet.ended:
            return Err(CallError(Applied.NOT_APPLIED, "refused"))
        if self.address in self.fleet.older:
            return Ok(JsonResponse(404, None))
        statuses = []
        environ = {"wsgi.input": io.BytesIO(json.dumps(body).encode())}
        self.fleet.custodies[self.address](environ, lambda status, _: statuses.append(status))
        return Ok(JsonResponse(int(statuses[0][:3]), None))

    def close(self):
        pass


@pytest.fixture
def fleet():
    return Fleet()


def end(fleet, address, counts=None):
    """End the process at an address as the meter's task does."""
    custody = fleet.custodies[address]
    handed_over = custody.hand_over(counts or {})
    fleet.ended.add(address)
    return handed_over


def test_counts_are_written_after_the_return_though_one_holder_was_killed(fleet):
    """Guards against customers' money lost with a process that ends in an outage."""
    assert end(fleet, "h0:1", {KEY: COUNTS})
    first, second = sorted(fleet.holders())
    fleet.ended.add(first)
    fleet.store.down = False
    assert fleet.custodies[second].store()
    assert fleet.store.objects[KEY][1]["windows"] == {"7": {"one": 3}}
    assert not fleet.custodies[second].held


def test_two_holders_write_the_counts_once(fleet):
    assert end(fleet, "h0:1", {KEY: COUNTS})
    fleet.store.down = False
    assert all(fleet.custodies[address].store() for address in fleet.holders())
    assert fleet.store.writes == 1


def test_counts_pass_on_while_all_instances_restart_in_turn(fleet):
    """Guards against the loss of what a holder holds that is restarted itself."""
    assert end(fleet, "h0:1", {KEY: COUNTS})
    for address in ("h1:1", "h2:1", "h3:1"):
        assert end(fleet, address)
        custody = fleet.custodies[address]
        fleet.custodies[address] = CountsCustody(
            fleet.store, custody._peers, Random(1), lambda to: Link(fleet, to)
        )
        fleet.ended = {"h0:1"}
    fleet.store.down = False
    assert all(custody.store() for custody in fleet.custodies.values())
    assert fleet.store.objects[KEY][1]["final"]


def test_copies_do_not_multiply_when_holders_restart(fleet):
    """Guards against each restart of a holder doubling what the fleet holds and sends."""
    assert end(fleet, "h0:1", {KEY: COUNTS})
    fleet.ended.clear()
    holder = min(fleet.holders())
    assert end(fleet, holder)
    assert len(fleet.holders()) <= 2


def test_a_later_write_of_the_store_is_not_replaced(fleet):
    fleet.custodies["h1:1"].accept({KEY: COUNTS})
    fleet.store.down = False
    fleet.store.objects[KEY] = (9, {"final": True, "windows": {"7": {"one": 4}}})
    assert fleet.custodies["h1:1"].store()
    assert fleet.store.objects[KEY][1]["windows"] == {"7": {"one": 4}}


def test_an_instance_alone_or_among_older_ones_keeps_trying_itself(fleet):
    """Guards against an early end whose counts nobody holds."""
    fleet.older = {"h1:1", "h2:1"}
    assert not end(fleet, "h0:1", {KEY: COUNTS})
    assert not CountsCustody(fleet.store, list, Random(1)).hand_over({KEY: COUNTS})


def test_an_instance_that_ends_itself_holds_nothing_more(fleet):
    """Guards against counts accepted by a process that has handed over what it held and ends."""
    assert end(fleet, "h1:1")
    assert not fleet.custodies["h1:1"].accept({KEY: COUNTS})


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"[]",
        b'{"counts": {"counts/a": {"written": 1}}}',
        b'{"counts": {"config/main": {"written": 1, "final": true}}}',
    ],
)
def test_an_unsound_offer_is_refused(fleet, raw):
    """Guards against a write to another kind of object, or of counts that are not final."""
    statuses = []
    custody = fleet.custodies["h1:1"]
    custody({"wsgi.input": io.BytesIO(raw)}, lambda status, _: statuses.append(status))
    assert statuses[0][:3] in ("400", "503")
    assert not custody.held


@pytest.mark.parametrize("hangs_s", [0.0, 5.0])
def test_a_process_ends_at_once_when_others_hold_its_counts(fleet, monkeypatch, hangs_s):
    """Guards against a successor that starts late since its predecessor waits for a write."""
    write = MemoryStore.update
    monkeypatch.setattr(MemoryStore, "update", lambda *args: gevent.sleep(hangs_s) or write(*args))
    clock = SystemClock()
    meter = UsageMeter(clock, 5.0)
    meter.count("one", clock.monotonic())
    task = MeterTask(
        fleet.store,
        clock,
        meter,
        "a-1",
        "h0:1",
        "d",
        "",
        lambda live: None,
        fleet.custodies["h0:1"],
    )
    started_at = clock.monotonic()
    task.stop(until=started_at + 10.0)
    assert clock.monotonic() - started_at < 1.0
    assert len(fleet.holders()) == 2


def test_a_process_that_has_written_its_final_counts_holds_no_others(fleet):
    """Guards against counts accepted by a process that ends before it writes them."""
    fleet.store.down = False
    clock, custody = SystemClock(), fleet.custodies["h0:1"]
    task = MeterTask(
        fleet.store, clock, UsageMeter(clock, 5.0), "b-1", "h0:1", "d", "", lambda _: None, custody
    )
    task.stop(until=clock.monotonic() + 1.0)
    assert not custody.accept({KEY: COUNTS})


@pytest.mark.parametrize("takes_s", [0.35, 0.5])
def test_a_final_write_is_awaited_as_long_as_there_is_time(monkeypatch, takes_s):
    """Guards against a process that ends under its final write, which nobody else holds."""
    store = MemoryStore()
    write = MemoryStore.update
    monkeypatch.setattr(MemoryStore, "update", lambda *args: gevent.sleep(takes_s) or write(*args))
    clock = SystemClock()
    task = MeterTask(
        store, clock, UsageMeter(clock, 5.0), "a-1", "h0:1", "d", "", lambda live: None
    )
    task.stop(until=clock.monotonic() + 0.65)
    assert store.objects[KEY][1]["final"]
