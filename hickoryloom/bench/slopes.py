"""Measures what an entry's admission and membership cost: `python -m hickoryloom.bench.slopes`."""

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

MEASURED_S = 6.0
SETTLE_S = 3.0
SIZES = (2, 7, 30)
QUEUED = 2000
CUSTOMERS = 11_000
TIERS = range(1, 5)


class MemoryStore:
    """The platform's objects, for presence."""

    def __init__(self) -> None:
        self._items: dict[str, Versioned[Any]] = {}

    def get(self, key: str) -> Any:
        """Return one object."""
        found = self._items.get(key)
        return Ok(found) if found else Err(PlatformError(ErrorKind.ABSENT, Applied.NOT_APPLIED))

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
        """Drop an object."""
        self._items.pop(key, None)
        return Ok(None)


class CountingRelay:
    """Passes connections on and counts their bytes."""

    def __init__(self, target: str) -> None:
        self.bytes = 0
        self._target = target
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _serve(self, client: Any, _address: Any) -> None:
        host, _, port = self._target.rpartition(":")
        server = socket.create_connection((host, int(port)))
        pumps = [gevent.spawn(self._pump, *pair) for pair in ((client, server), (server, client))]
        gevent.joinall(pumps)

    def _pump(self, source: Any, sink: Any) -> None:
        while data := source.recv(65536):
            self.bytes += len(data)
            sink.sendall(data)


class Node:
    """One entry's membership behind a real server, with five pools to tell of."""

    def __init__(self, name: str, store: MemoryStore, counted: bool) -> None:
        app = falcon.App()
        self.built = 0
        self.name = name
        self.server = Server(app, "127.0.0.1:0")
        self.server.start()
        self.relay = CountingRelay(self.server.address) if counted else None
        self.address = self.relay.address if self.relay else self.server.address
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
        self.built += 1
        counts = dict.fromkeys(TIERS, 10)
        summary = PoolSummary(60, counts, 1, 1, 12, dict.fromkeys(TIERS, 20))
        pools = {f"pool-{number}": summary for number in range(5)}
        return Heartbeat(self.name, self.address, "domain-1", 120, 90_000, 0.4, pools)

    def close(self) -> None:
        """Stop the membership and its server."""
        self.membership.stop()
        self.server.close()


def measure_heartbeats(count: int, counted: bool = False) -> None:
    """Run `count` entries in this process and print what one of them costs."""
    store = MemoryStore()
    nodes = [Node(f"entry-{number:02d}-a1b2c3", store, counted) for number in range(count)]
    starts = [gevent.spawn(node.membership.start) for node in nodes]
    gevent.joinall(starts)
    gevent.sleep(SETTLE_S)
    cpu, begun = time.process_time(), time.monotonic()
    built = sum(node.built for node in nodes)
    carried = sum(node.relay.bytes for node in nodes if node.relay)
    gevent.sleep(MEASURED_S)
    elapsed = time.monotonic() - begun
    cpu_part = (time.process_time() - cpu) / elapsed / count
    sides = (sum(node.built for node in nodes) - built) / elapsed / count
    line = f"entries={count} cpu_per_entry={cpu_part:.4%} sides_per_s={sides:.2f}"
    line += f" cpu_per_side_ms={cpu_part / sides * 1000:.3f}"
    if counted:
        moved = sum(node.relay.bytes for node in nodes if node.relay) - carried
        line += f" bytes_per_side={moved / elapsed / count / sides:.0f}"
    print(line, flush=True)
    for node in nodes:
        node.close()


def build_state(customers: int) -> AdmissionState:
    """Return one entry's admission without room, so that requests wait."""
    classes = {f"c{tier}": RequestClass(f"c{tier}", tier, 60_000, 0) for tier in TIERS}
    state = AdmissionState("entry", random.Random(1))
    named = {
        f"customer-{number}": Customer(
            f"customer-{number}", tuple(classes), tokens_per_minute=10**9, max_in_flight=500
        )
        for number in range(customers)
    }
    pools = {"pool": Pool("pool", PoolKind.ENGINE)}
    state.set_snapshot(Snapshot(1, pools=pools, classes=classes, customers=named), 0.0)
    state.set_backends([BackendView("b", "", "d", "pool", slots=CUSTOMERS)], 0.0)
    return state


def submit(state: AdmissionState, number: int, customer: int) -> None:
    """Submit one request that may wait for long."""
    request = Request(
        f"request-{number}", f"customer-{customer}", "m", "pool", "c1", 1, True, 0.0, 1e9
    )
    state.submit(request, 0.0)
    state.dispatch("pool", 0.0)


def measure_memory() -> None:
    """Print the memory of an active customer and of a waiting request."""
    state = build_state(CUSTOMERS)
    tracemalloc.start()
    for number in range(CUSTOMERS):
        submit(state, number, number)
    running = tracemalloc.get_traced_memory()[0]
    for number in range(QUEUED):
        submit(state, CUSTOMERS + number, 0)
    waiting = tracemalloc.get_traced_memory()[0] - running
    tracemalloc.stop()
    print(f"bytes_per_active_customer_with_one_running_request={running / CUSTOMERS:.0f}")
    print(f"bytes_per_waiting_request={waiting / QUEUED:.0f}", flush=True)


def measure_metrics_memory() -> None:
    """Print the memory of histograms, with more customers than are tracked."""
    tracemalloc.start()
    recorder = MetricsRecorder()
    for number in range(CUSTOMERS):
        for measure in Measure:
            recorder.record(f"class-{number % len(TIERS)}", f"customer-{number}", measure, 0.1)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"bytes_of_metrics_with_{CUSTOMERS}_customers_seen={size}", flush=True)


def main() -> None:
    """Print all slopes."""
    measure_memory()
    measure_metrics_memory()
    measure_heartbeats(2, counted=True)
    for count in SIZES:
        measure_heartbeats(count)


if __name__ == "__main__":
    main()
