"""Measure the platform calls of idle processes and the CPU time of a call in the calling process.

Example: .venv/bin/python scripts/measure_platform_calls.py
"""

from gevent import monkey

monkey.patch_all()

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

import gevent

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from hickoryloom.clock import SystemClock
from hickoryloom.http import JsonClient
from hickoryloom.store import CallBudget, PlatformClient
from tests.site import Site

SETTLE_S = 15.0
MEASURE_S = 30.0
COST_CALLS = 1500
SIZES = ((0, 0), (2, 0), (4, 0), (4, 2), (4, 4))


def main() -> None:
    """Print calls and bytes by number of processes, then the CPU time by kind of call."""
    for entries, controls in SIZES:
        measure_idle(entries, controls)
    measure_call_cost()


def measure_idle(entries: int, controls: int) -> None:
    """Print the platform calls per second of processes that serve no requests."""
    with tempfile.TemporaryDirectory() as directory:
        site = Site(Path(directory))
        try:
            site.publish()
            for _ in range(entries):
                site.add_entry(window_s=60.0)
            for _ in range(controls):
                site.add_control(window_s=60.0)
            gevent.sleep(SETTLE_S)
            before = read_journal(site)
            gevent.sleep(MEASURE_S)
            print_rates(entries, controls, before, read_journal(site))
        finally:
            site.stop()


def read_journal(site: Site) -> dict:
    """Return the counters of the platform stand-in."""
    client = JsonClient(site.platform_address)
    journal = client.call("GET", "/standin/journal").unwrap().body
    client.close()
    return journal


def print_rates(entries: int, controls: int, before: dict, after: dict) -> None:
    """Print the calls by kind and the bytes, per second."""
    calls = Counter(after["calls"])
    calls.subtract(before["calls"])
    rates = {kind: round(count / MEASURE_S, 3) for kind, count in sorted(calls.items()) if count}
    sent = (after["bytes"] - before["bytes"]) / MEASURE_S
    print(f"{entries} entries, {controls} controls: calls/s {rates}, bytes/s {sent:.0f}")


def measure_call_cost() -> None:
    """Print the CPU time of one call in this process."""
    with tempfile.TemporaryDirectory() as directory:
        site = Site(Path(directory))
        try:
            clock = SystemClock()
            budget = CallBudget(clock.monotonic(), 1, 1e9, 1e9)
            client = PlatformClient(site.platform_address, clock, budget, Random(1))
            version = client.create("cost", {"a": "x" * 200}).unwrap().version
            print_cost("get", lambda: client.get("cost").unwrap())
            for _ in range(3):
                version = client.update("cost", {"a": "x" * 200}, version).unwrap().version
            state = {"version": version}

            def update() -> None:
                value = {"a": "x" * 200}
                state["version"] = client.update("cost", value, state["version"]).unwrap().version

            print_cost("update", update)
        finally:
            site.stop()


def print_cost(kind: str, measured_call) -> None:
    """Print the CPU time of one call in microseconds."""
    started_at = time.process_time()
    for _ in range(COST_CALLS):
        measured_call()
    cpu_s = (time.process_time() - started_at) / COST_CALLS
    print(f"{kind}: {cpu_s * 1e6:.0f} us of CPU time per call")


if __name__ == "__main__":
    main()
