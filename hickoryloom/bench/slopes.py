"""Measures the cost of admission and membership: `python -m hickoryloom.bench.slopes`."""

from gevent import monkey

monkey.patch_all()

import random
import time
import tracemalloc
from typing import Any

import falcon
import gevent
from gevent import socket
from gevent.server import StreamServer
from result import Err, Ok

from hickoryloom.admission import AdmissionState, Request
from hickoryloom.clock import SystemClock
from hickoryloom.config import Settings
from hickoryloom.configuration import Customer, Pool, PoolKind, RequestClass, Snapshot
from hickoryloom.http import Server
from hickoryloom.membership import Heartbeat, Membership, PoolSummary
from hickoryloom.metrics import Measure, MetricsRecorder
from hickoryloom.routing import BackendView
from hickoryloom.store.messages import ErrorKind, Listing, PlatformError, Versioned
from hickoryloom.verdict import Applied

MEASURE_S = 6.0
SETTLE_S = 3.0
SIZES = (2, 7, 30)
WAITING_REQUESTS = 2000
CUSTOMERS = 11_000
TIERS = range(1, 5)


class MemoryStore:
    """In-memory store of presence objects."""

    def __init__(self) -> None:
        self._items: dict[str, Versioned[Any]] = {}

    def get(self, key: str) -> Any:
        """Return one object."""
        stored = self._items.get(key)
        return Ok(stored) if stored else Err(PlatformError(ErrorKind.ABSENT, Applied.NOT_APPLIED))

    def list(self, prefix: str) -> Any:
        """Return all objects."""
        return Ok(Listing(1, tuple(self._items.values())))

    def create(self, key: str, value: Any) -> Any:
        """Store an object."""
        return self.update(key, value, 0)

    def update(self, key: str, value: Any, if_version: int) -> Any:
        """Store an object."""
        self._items[key] = Versioned(key, if_version + 1, value)
        return Ok(self._items[key])

    def delete(self, key: str, if_version: int) -> Any:
        """Delete an object."""
        self._items.pop(key, None)
        return Ok(None)


class CountingProxy:
    """TCP proxy that counts the bytes it forwards."""

    def __init__(self, target: str) -> None:
        self.bytes = 0
        self._target = target
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _serve(self, client: Any, _address: Any) -> None:
        host, _, port = self._target.rpartition(":")
        server = socket.create_connection((host, int(port)))
        copy_tasks = [
            gevent.spawn(self._copy, *pair) for pair in ((client, server), (server, client))
        ]
        gevent.joinall(copy_tasks)

    def _copy(self, source: Any, sink: Any) -> None:
        while data := source.recv(65536):
            self.bytes += len(data)
            sink.sendall(data)


class MembershipNode:
    """Membership of one entry with an HTTP server and summaries of five pools."""

    def __init__(self, name: str, store: MemoryStore, count_bytes: bool) -> None:
        app = falcon.App()
        self.heartbeats_built = 0
        self.name = name
        self.server = Server(app, "127.0.0.1:0")
        self.server.start()
        self.proxy = CountingProxy(self.server.address) if count_bytes else None
        self.address = self.proxy.address if self.proxy else self.server.address
        settings = Settings(
            instance=name,
            failure_domain="domain-1",
            platform="",
            advertise=self.address,
            peer_secret="secret",
        )
        self.membership = Membership(settings, name, SystemClock(), store, self._build)
        self.membership.add_routes(app)

    def _build(self) -> Heartbeat:
        self.heartbeats_built += 1
        counts = dict.fromkeys(TIERS, 10)
        summary = PoolSummary(60, counts, 1, 1, 12, dict.fromkeys(TIERS, 20))
        pools = {f"pool-{number}": summary for number in range(5)}
        return Heartbeat(self.name, self.address, "domain-1", 120, 90_000, 0.4, pools)

    def close(self) -> None:
        """Stop the membership and close its server."""
        self.membership.stop()
        self.server.close()


def measure_heartbeats(count: int, count_bytes: bool = False) -> None:
    """Run the membership of `count` entries in this process and print the cost per entry."""
    store = MemoryStore()
    nodes = [
        MembershipNode(f"entry-{number:02d}-a1b2c3", store, count_bytes) for number in range(count)
    ]
    start_tasks = [gevent.spawn(node.membership.start) for node in nodes]
    gevent.joinall(start_tasks)
    gevent.sleep(SETTLE_S)
    cpu_before, started_at = time.process_time(), time.monotonic()
    built_before = sum(node.heartbeats_built for node in nodes)
    bytes_before = sum(node.proxy.bytes for node in nodes if node.proxy)
    gevent.sleep(MEASURE_S)
    elapsed = time.monotonic() - started_at
    cpu_share = (time.process_time() - cpu_before) / elapsed / count
    heartbeats_per_s = (
        (sum(node.heartbeats_built for node in nodes) - built_before) / elapsed / count
    )
    line = f"entries={count} cpu_per_entry={cpu_share:.4%} sides_per_s={heartbeats_per_s:.2f}"
    line += f" cpu_per_side_ms={cpu_share / heartbeats_per_s * 1000:.3f}"
    if count_bytes:
        bytes_moved = sum(node.proxy.bytes for node in nodes if node.proxy) - bytes_before
        line += f" bytes_per_side={bytes_moved / elapsed / count / heartbeats_per_s:.0f}"
    print(line, flush=True)
    for node in nodes:
        node.close()


def build_full_admission(customers: int) -> AdmissionState:
    """Return an admission of one entry in which requests wait after the first `CUSTOMERS`."""
    classes = {f"c{tier}": RequestClass(f"c{tier}", tier, 60_000, 0) for tier in TIERS}
    state = AdmissionState("entry", random.Random(1))
    customers_by_name = {
        f"customer-{number}": Customer(
            f"customer-{number}", tuple(classes), tokens_per_minute=10**9, max_in_flight=500
        )
        for number in range(customers)
    }
    pools = {"pool": Pool("pool", PoolKind.ENGINE)}
    state.set_snapshot(Snapshot(1, pools=pools, classes=classes, customers=customers_by_name), 0.0)
    state.set_backends([BackendView("b", "", "d", "pool", slots=CUSTOMERS)], 0.0)
    return state


def submit_request(state: AdmissionState, number: int, customer: int) -> None:
    """Submit one request with a distant deadline."""
    request = Request(
        f"request-{number}", f"customer-{customer}", "m", "pool", "c1", 1, True, 0.0, 1e9
    )
    state.submit(request, 0.0)
    state.dispatch("pool", 0.0)


def measure_memory() -> None:
    """Print the memory per active customer and per waiting request."""
    state = build_full_admission(CUSTOMERS)
    tracemalloc.start()
    for number in range(CUSTOMERS):
        submit_request(state, number, number)
    running_bytes = tracemalloc.get_traced_memory()[0]
    for number in range(WAITING_REQUESTS):
        submit_request(state, CUSTOMERS + number, 0)
    waiting_bytes = tracemalloc.get_traced_memory()[0] - running_bytes
    tracemalloc.stop()
    print(f"bytes_per_active_customer_with_one_running_request={running_bytes / CUSTOMERS:.0f}")
    print(f"bytes_per_waiting_request={waiting_bytes / WAITING_REQUESTS:.0f}", flush=True)


def measure_metrics_memory() -> None:
    """Print the memory of the histograms with more customers than the recorder tracks."""
    tracemalloc.start()
    recorder = MetricsRecorder()
    for number in range(CUSTOMERS):
        for measure in Measure:
            recorder.record(f"class-{number % len(TIERS)}", f"customer-{number}", measure, 0.1)
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"bytes_of_metrics_with_{CUSTOMERS}_customers_seen={size_bytes}", flush=True)


def main() -> None:
    """Run all measurements and print their figures."""
    measure_memory()
    measure_metrics_memory()
    measure_heartbeats(2, count_bytes=True)
    for count in SIZES:
        measure_heartbeats(count)


if __name__ == "__main__":
    main()
