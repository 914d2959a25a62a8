"""Measures the cost of the configuration by size: `python -m hickoryloom.bench.configuration`.

Prints, for several numbers of customers, the memory and CPU time of a generation, and the cost of
one changed key for its publisher, the platform and each follower.
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
from hickoryloom.standins.objects import ConflictError, ObjectStore
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
CALLS_PER_BATCH = 200
BATCHES = 5
PLATFORM_LATENCY_S = 0.005
BODY_BYTES = 4096
KEY = new_key()


class _MemoryStoreClient:
    """Platform client on an in-memory store that counts calls and bytes read."""

    def __init__(self) -> None:
        self._store = ObjectStore(time.monotonic)
        self.calls = 0
        self.bytes_read = 0

    def get(self, key: str) -> Result[Versioned[Any], PlatformError]:
        self.calls += 1
        stored = self._store.get(key)
        if stored is None:
            return Err(PlatformError(ErrorKind.ABSENT, Applied.NOT_APPLIED))
        self.bytes_read += len(json.dumps(stored.value))
        return Ok(Versioned(key, stored.version, stored.value))

    def list(self, prefix: str) -> Result[Listing, PlatformError]:
        self.calls += 1
        revision, stored_objects = self._store.list_prefix(prefix)
        items = [Versioned(item.key, item.version, item.value) for item in stored_objects]
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
        except ConflictError:
            return Err(PlatformError(ErrorKind.CONFLICT, Applied.NOT_APPLIED))
        return Ok(Versioned(key, stored.version, stored.value))

    def delete(self, key: str, if_version: int) -> Result[None, PlatformError]:
        self.calls += 1
        self._store.delete(key, if_version)
        return Ok(None)


def build_documents(count: int) -> Documents:
    """Return documents with `count` customers and as many keys."""
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
    """Measure one generation and its changes with `count` customers and keys."""
    client = _MemoryStoreClient()
    documents = build_documents(count)
    publish_s = _cpu_s(lambda: publish(client, documents).unwrap())
    root = client.get("config/root").unwrap().value
    figures: dict[str, Any] = {"customers_and_keys": count, "publish_ms": 1000 * publish_s}
    figures["shards"] = len(root["shards"])
    figures["largest_shard_bytes"] = max(
        len(json.dumps(client.get(f"config/shards/{name}-{reference}").unwrap().value))
        for name, reference in root["shards"].items()
    )
    figures.update(_measure_follower(client, root))
    figures.update(_measure_key_checks(client))
    return figures


def _measure_follower(client: _MemoryStoreClient, root: dict[str, Any]) -> dict[str, Any]:
    follower = ConfigurationFollower(client, SystemClock())
    source = _ShardReader(client)
    load_s = _cpu_s(lambda: follower.apply_root(root, source))
    calls_before, bytes_before, shard_reads_before = client.calls, client.bytes_read, source.reads
    change_s = 0.0
    for number in range(CHANGES):
        record = KeyRecord(hash_key(f"new {number}"), "customer-1", f"new-{number}", issued=True)
        issue_key(client, record).unwrap()
        changed = client.get("config/root").unwrap().value
        change_s += _cpu_s(functools.partial(follower.apply_root, changed, source))
    publisher_calls = (client.calls - calls_before) / CHANGES - 1
    publisher_bytes = (client.bytes_read - bytes_before) / CHANGES - len(json.dumps(changed))
    assert follower.snapshot.generation == changed["generation"]
    old = follower.snapshot
    new = attrs.evolve(old, keys=dict(list(old.keys.items())[1:]))
    changed_keys = frozenset(list(old.keys)[:1])
    new_with_changes = attrs.evolve(new, changed_from=old.generation, changed_keys=changed_keys)
    return {
        "load_ms": 1000 * load_s,
        "memory_mb": _memory_mb(client, changed),
        "publisher_calls_per_change": publisher_calls,
        "publisher_bytes_read_per_change": publisher_bytes,
        "root_bytes": len(json.dumps(changed)),
        "change_ms": 1000 * change_s / CHANGES,
        "shard_reads_per_change": (source.reads - shard_reads_before) / CHANGES,
        "withdrawn_keys_told_ms": 1000 * _cpu_s(lambda: withdrawn_keys(old, new_with_changes), 20),
        "withdrawn_keys_ms": 1000 * _cpu_s(lambda: withdrawn_keys(old, new), 20),
    }


def _memory_mb(client: _MemoryStoreClient, root: dict[str, Any]) -> float:
    tracemalloc.start()
    follower = ConfigurationFollower(client, SystemClock())
    follower.apply_root(root, _ShardReader(client))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert follower.snapshot.generation
    return size / 1e6


def _measure_key_checks(client: _MemoryStoreClient) -> dict[str, Any]:
    follower = ConfigurationFollower(client, SystemClock())
    follower.apply_root(client.get("config/root").unwrap().value, _ShardReader(client))
    headers = (("authorization", f"Bearer {KEY}"), ("content-type", "application/json"))
    body = json.dumps({"prompt": "when is the furnace lit? " * (BODY_BYTES // 25)}).encode()
    call = Call("POST", "/v1/chat/completions", "", headers, body)
    identity = authenticate(call, follower.snapshot).unwrap()
    return {
        "authenticate_us": 1e6
        * _min_cpu_s(lambda: authenticate(call, follower.snapshot), CALLS_PER_BATCH),
        "scrub_4kb_us": 1e6 * _min_cpu_s(lambda: scrub(call, identity), CALLS_PER_BATCH),
    }


def measure_followers(count: int, changes: int = CHANGES) -> dict[str, Any]:
    """Measure changes with `count` followers and a platform that responds in 5 ms."""
    platform = build_platform()
    platform.start()
    platform.switches = attrs.evolve(platform.switches, slow_s=PLATFORM_LATENCY_S)
    client = _platform_client(platform.address)
    publish(client, build_documents(SIZES[0])).unwrap()
    followers = [
        ConfigurationFollower(_platform_client(platform.address), SystemClock())
        for _ in range(count)
    ]
    for follower in followers:
        follower.start()
    _await_generation(followers, 1)
    delays, cpu_before = [], time.process_time()
    platform.calls.clear()
    started_at = time.monotonic()
    for number in range(changes):
        delays.append(_measure_delay(client, followers, number))
        gevent.sleep(0.25)
    figures = {
        "followers": count,
        "issue_to_in_force_p50_ms": 1000 * sorted(delays)[len(delays) // 2],
        "issue_to_in_force_max_ms": 1000 * max(delays),
        "watch_calls_per_follower_and_s": platform.calls["watch"]
        / count
        / (time.monotonic() - started_at),
        "processor_share": (time.process_time() - cpu_before) / (time.monotonic() - started_at),
    }
    for follower in followers:
        follower.stop()
    platform.stop()
    return figures


def _measure_delay(
    client: PlatformClient, followers: list[ConfigurationFollower], number: int
) -> float:
    record = KeyRecord(hash_key(f"f {number}"), "customer-1", f"f-{number}", issued=True)
    started_at = time.monotonic()
    generation = issue_key(client, record).unwrap()
    _await_generation(followers, generation)
    return time.monotonic() - started_at


def _await_generation(followers: list[ConfigurationFollower], generation: int) -> None:
    while any(follower.snapshot.generation < generation for follower in followers):
        gevent.sleep(0.002)


def measure_peer_request() -> dict[str, Any]:
    """Measure one request to a peer about its configuration view, client and server together."""
    client = _MemoryStoreClient()
    publish(client, build_documents(SIZES[0])).unwrap()
    follower = ConfigurationFollower(client, SystemClock())
    follower.apply_root(client.get("config/root").unwrap().value, _ShardReader(client))
    app = falcon.App()
    peers = ConfigurationPeers(follower, SystemClock(), secret="secret")
    peers.add_routes(app)
    server = Server(app, "127.0.0.1:0")
    server.start()
    peers.query_peer(server.address)
    cpu_s = _cpu_s(lambda: peers.query_peer(server.address), CALLS_PER_BATCH)
    server.close()
    return {"peer_question_ms_both_sides": 1000 * cpu_s}


def measure_watch() -> dict[str, Any]:
    """Measure one watch call without a change, client and platform stand-in together."""
    platform = build_platform()
    platform.start()
    client = _platform_client(platform.address)
    created = client.create("config/root", {"generation": 1})
    assert created.is_ok()
    client.watch("config/root", 1, 0.0)
    cpu_s = _cpu_s(lambda: client.watch("config/root", 1, 0.0), CALLS_PER_BATCH)
    platform.stop()
    return {"watch_ms_both_sides": 1000 * cpu_s}


class _ShardReader:
    """Reads shards from the in-memory store and counts the reads."""

    def __init__(self, client: _MemoryStoreClient) -> None:
        self._client = client
        self.reads = 0

    def read(self, name: str, reference: str) -> Result[Any, str]:
        """Return the content of a shard."""
        self.reads += 1
        shard = self._client.get(f"config/shards/{name}-{reference}")
        # Each follower gets its own copy, as if it had parsed its own response.
        return shard.map(lambda item: json.loads(json.dumps(item.value))).map_err(
            lambda error: error.detail
        )


def _platform_client(address: str) -> PlatformClient:
    clock = SystemClock()
    return PlatformClient(address, clock, CallBudget(clock.monotonic(), 1))


def _cpu_s(action: Callable[[], Any], repeats: int = 1) -> float:
    started_at = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started_at) / repeats


def _min_cpu_s(action: Callable[[], Any], repeats: int) -> float:
    return min(_cpu_s(action, repeats) for _ in range(BATCHES))


def main(arguments: list[str] | None = None) -> None:
    """Print the figures as JSON, one object per line."""
    parser = argparse.ArgumentParser(description="Measure the cost of the configuration by size.")
    parser.add_argument("--sizes", type=int, nargs="*", default=list(SIZES))
    parser.add_argument("--followers", type=int, nargs="*", default=list(FOLLOWERS))
    options = parser.parse_args(arguments)
    for size in options.sizes:
        _print(measure_size(size))
    for count in options.followers:
        _print(measure_followers(count))
    _print(measure_peer_request())
    _print(measure_watch())


def _print(figures: dict[str, Any]) -> None:
    rounded = {key: round(value, 3) for key, value in figures.items()}
    print(json.dumps(rounded), flush=True)


if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()
    main()
