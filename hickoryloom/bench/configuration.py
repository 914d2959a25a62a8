"""Slopes of the configuration: `python -m hickoryloom.bench.configuration`.

Prints, for several sizes, what a generation takes in memory and processor time, and what one
changed key costs its publisher, the platform and each follower.
"""

from __future__ import annotations

import argparse
import functools
import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import attrs
import falcon
import gevent
from result import Err, Ok, Result

from hickoryloom.clock import SystemClock
from hickoryloom.configuration import (
    ConfigurationFollower,
    ConfigurationPeers,
    Customer,
    Documents,
    KeyRecord,
    RequestClass,
    issue_key,
    publish,
)
from hickoryloom.http import Call, Server
from hickoryloom.keys import authenticate, hash_key, new_key, scrub, withdrawn_keys
from hickoryloom.standins import build_platform
from hickoryloom.standins.objects import Conflict, ObjectStore
from hickoryloom.store import (
    CallBudget,
    ErrorKind,
    Listing,
    PlatformClient,
    PlatformError,
    Versioned,
)
from hickoryloom.verdict import Applied

__all__ = ["main", "measure_followers", "measure_size"]

SIZES = (100, 1100, 11_000)
FOLLOWERS = (7, 70)
CHANGES = 40
REPEATS = 200
BATCHES = 5
PLATFORM_ANSWER_S = 0.005
BODY_BYTES = 4096
KEY = new_key()


class _StoreClient:
    """The platform's client on a store in memory; counts calls and the bytes read."""

    def __init__(self) -> None:
        self._store = ObjectStore(time.monotonic)
        self.calls = 0
        self.bytes_read = 0

    def get(self, key: str) -> Result[Versioned[Any], PlatformError]:
        self.calls += 1
        found = self._store.get(key)
        if found is None:
            return Err(PlatformError(ErrorKind.ABSENT, Applied.NOT_APPLIED))
        self.bytes_read += len(json.dumps(found.value))
        return Ok(Versioned(key, found.version, found.value))

    def list(self, prefix: str) -> Result[Listing, PlatformError]:
        self.calls += 1
        revision, found = self._store.list_prefix(prefix)
        items = [Versioned(item.key, item.version, item.value) for item in found]
        self.bytes_read += sum(len(json.dumps(item.value)) for item in items)
        return Ok(Listing(revision, tuple(items)))

    def create(self, key: str, value: Any) -> Result[Versioned[Any], PlatformError]:
        return self.update(key, value, 0)

    def update(
        self, key: str, value: Any, if_version: int
    ) -> Result[Versioned[Any], PlatformError]:
        self.calls += 1
        try:
            stored = self._store.put(key, json.loads(json.dumps(value)), if_version)
        except Conflict:
            return Err(PlatformError(ErrorKind.CONFLICT, Applied.NOT_APPLIED))
        return Ok(Versioned(key, stored.version, stored.value))

    def delete(self, key: str, if_version: int) -> Result[None, PlatformError]:
        self.calls += 1
        self._store.delete(key, if_version)
        return Ok(None)


def build_documents(count: int) -> Documents:
    """Return documents of `count` customers with a key each."""
    classes = {f"class-{n}": RequestClass(f"class-{n}", n, 500, 50) for n in range(1, 5)}
    customers = {
        f"customer-{n}": Customer(f"customer-{n}", tuple(classes), 1.5, 60_000, 20)
        for n in range(count)
    }
    records = [
        KeyRecord(hash_key(f"key {n}"), f"customer-{n}", f"label-{n}") for n in range(count - 1)
    ]
    records.append(KeyRecord(hash_key(KEY), "customer-0", "last"))
    keys = {record.hash: record for record in records}
    return Documents(classes=classes, customers=customers, keys=keys)


def measure_size(count: int) -> dict[str, Any]:
    """Measure one generation and one change at `count` customers and keys."""
    client = _StoreClient()
    documents = build_documents(count)
    publish_s = _processor_s(lambda: publish(client, documents).unwrap())
    root = client.get("config/root").unwrap().value
    row: dict[str, Any] = {"customers_and_keys": count, "publish_ms": 1000 * publish_s}
    row["shards"] = len(root["shards"])
    row["largest_shard_bytes"] = max(
        len(json.dumps(client.get(f"config/shards/{name}-{reference}").unwrap().value))
        for name, reference in root["shards"].items()
    )
    row.update(_measure_follower(client, root))
    row.update(_measure_use(client))
    return row


def _measure_follower(client: _StoreClient, root: dict[str, Any]) -> dict[str, Any]:
    follower = ConfigurationFollower(client, SystemClock())
    source = _Shards(client)
    load_s = _processor_s(lambda: follower.offer_root(root, source))
    calls, read, shard_reads = client.calls, client.bytes_read, source.reads
    change_s = 0.0
    for number in range(CHANGES):
        record = KeyRecord(hash_key(f"new {number}"), "customer-1", f"new-{number}", issued=True)
        issue_key(client, record).unwrap()
        changed = client.get("config/root").unwrap().value
        change_s += _processor_s(functools.partial(follower.offer_root, changed, source))
    publisher_calls = (client.calls - calls) / CHANGES - 1
    publisher_bytes = (client.bytes_read - read) / CHANGES - len(json.dumps(changed))
    assert follower.snapshot.generation == changed["generation"]
    old = follower.snapshot
    new = attrs.evolve(old, keys=dict(list(old.keys.items())[1:]))
    first = frozenset(list(old.keys)[:1])
    told = attrs.evolve(new, changed_from=old.generation, changed_keys=first)
    return {
        "load_ms": 1000 * load_s,
        "memory_mb": _memory_mb(client, changed),
        "publisher_calls_per_change": publisher_calls,
        "publisher_bytes_read_per_change": publisher_bytes,
        "root_bytes": len(json.dumps(changed)),
        "change_ms": 1000 * change_s / CHANGES,
        "shard_reads_per_change": (source.reads - shard_reads) / CHANGES,
        "withdrawn_keys_told_ms": 1000 * _processor_s(lambda: withdrawn_keys(old, told), 20),
        "withdrawn_keys_ms": 1000 * _processor_s(lambda: withdrawn_keys(old, new), 20),
    }


def _memory_mb(client: _StoreClient, root: dict[str, Any]) -> float:
    tracemalloc.start()
    follower = ConfigurationFollower(client, SystemClock())
    follower.offer_root(root, _Shards(client))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert follower.snapshot.generation
    return size / 1e6


def _measure_use(client: _StoreClient) -> dict[str, Any]:
    follower = ConfigurationFollower(client, SystemClock())
    follower.offer_root(client.get("config/root").unwrap().value, _Shards(client))
    headers = (("authorization", f"Bearer {KEY}"), ("content-type", "application/json"))
    body = json.dumps({"prompt": "when is the furnace lit? " * (BODY_BYTES // 25)}).encode()
    call = Call("POST", "/v1/chat/completions", "", headers, body)
    identity = authenticate(call, follower.snapshot).unwrap()
    return {
        "authenticate_us": 1e6
        * _least_processor_s(lambda: authenticate(call, follower.snapshot), REPEATS),
        "scrub_4kb_us": 1e6 * _least_processor_s(lambda: scrub(call, identity), REPEATS),
    }


def measure_followers(count: int, changes: int = CHANGES) -> dict[str, Any]:
    """Measure changes with `count` followers on a platform that answers in 5 ms."""
    platform = build_platform()
    platform.start()
    platform.switches = attrs.evolve(platform.switches, slow_s=PLATFORM_ANSWER_S)
    client = _platform_client(platform.address)
    publish(client, build_documents(SIZES[0])).unwrap()
    followers = [
        ConfigurationFollower(_platform_client(platform.address), SystemClock())
        for _ in range(count)
    ]
    for follower in followers:
        follower.start()
    _await_generation(followers, 1)
    delays, spent = [], time.process_time()
    platform.calls.clear()
    began = time.monotonic()
    for number in range(changes):
        delays.append(_time_change(client, followers, number))
        gevent.sleep(0.25)
    row = {
        "followers": count,
        "issue_to_in_force_p50_ms": 1000 * sorted(delays)[len(delays) // 2],
        "issue_to_in_force_max_ms": 1000 * max(delays),
        "watch_calls_per_follower_and_s": platform.calls["watch"]
        / count
        / (time.monotonic() - began),
        "processor_share": (time.process_time() - spent) / (time.monotonic() - began),
    }
    for follower in followers:
        follower.stop()
    platform.stop()
    return row


def _time_change(
    client: PlatformClient, followers: list[ConfigurationFollower], number: int
) -> float:
    record = KeyRecord(hash_key(f"f {number}"), "customer-1", f"f-{number}", issued=True)
    began = time.monotonic()
    generation = issue_key(client, record).unwrap()
    _await_generation(followers, generation)
    return time.monotonic() - began


def _await_generation(followers: list[ConfigurationFollower], generation: int) -> None:
    while any(follower.snapshot.generation < generation for follower in followers):
        gevent.sleep(0.002)


def measure_peer_question() -> dict[str, Any]:
    """Measure one question to a peer about its view, both sides together."""
    client = _StoreClient()
    publish(client, build_documents(SIZES[0])).unwrap()
    follower = ConfigurationFollower(client, SystemClock())
    follower.offer_root(client.get("config/root").unwrap().value, _Shards(client))
    app = falcon.App()
    peers = ConfigurationPeers(follower, SystemClock(), secret="secret")
    peers.add_routes(app)
    server = Server(app, "127.0.0.1:0")
    server.start()
    peers.ask(server.address)
    spent_s = _processor_s(lambda: peers.ask(server.address), REPEATS)
    server.close()
    return {"peer_question_ms_both_sides": 1000 * spent_s}


def measure_watch() -> dict[str, Any]:
    """Measure one watch that ends without a change, client and platform stand-in together."""
    platform = build_platform()
    platform.start()
    client = _platform_client(platform.address)
    created = client.create("config/root", {"generation": 1})
    assert created.is_ok()
    client.watch("config/root", 1, 0.0)
    spent_s = _processor_s(lambda: client.watch("config/root", 1, 0.0), REPEATS)
    platform.stop()
    return {"watch_ms_both_sides": 1000 * spent_s}


class _Shards:
    """Reads shards from the store in memory."""

    def __init__(self, client: _StoreClient) -> None:
        self._client = client
        self.reads = 0

    def read(self, name: str, reference: str) -> Result[Any, str]:
        """Return a shard's content."""
        self.reads += 1
        found = self._client.get(f"config/shards/{name}-{reference}")
        # A copy, as a follower that parses its own answer has it.
        return found.map(lambda item: json.loads(json.dumps(item.value))).map_err(
            lambda error: error.detail
        )


def _platform_client(address: str) -> PlatformClient:
    clock = SystemClock()
    return PlatformClient(address, clock, CallBudget(clock.monotonic(), 1))


def _processor_s(work: Callable[[], Any], repeats: int = 1) -> float:
    began = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - began) / repeats


def _least_processor_s(work: Callable[[], Any], repeats: int) -> float:
    return min(_processor_s(work, repeats) for _ in range(BATCHES))


def main(arguments: list[str] | None = None) -> None:
    """Print the slopes as JSON, one object a line."""
    parser = argparse.ArgumentParser(description="Measure slopes of the configuration.")
    parser.add_argument("--sizes", type=int, nargs="*", default=list(SIZES))
    parser.add_argument("--followers", type=int, nargs="*", default=list(FOLLOWERS))
    options = parser.parse_args(arguments)
    for size in options.sizes:
        _print(measure_size(size))
    for count in options.followers:
        _print(measure_followers(count))
    _print(measure_peer_question())
    _print(measure_watch())


def _print(row: dict[str, Any]) -> None:
    rounded = {key: round(value, 3) for key, value in row.items()}
    print(json.dumps(rounded), flush=True)


if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()
    main()
