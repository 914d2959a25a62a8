"""Measure the rate of calls that must run at most once that one entry's call budget bears.

Example: .venv/bin/python scripts/measure_bookings.py
"""

from gevent import monkey

monkey.patch_all()

import sys
import time
from collections import Counter
from pathlib import Path
from random import Random

import gevent

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from hickoryloom.admission import Request
from hickoryloom.claims import Claims, StoredAnswer
from hickoryloom.clock import SystemClock
from hickoryloom.http import Call
from hickoryloom.standins import build_platform
from hickoryloom.store import CallBudget, PlatformClient

MEASURE_S = 20.0
CALLERS = 40
SIZES = (14, 42, 140)
CALL = Call("POST", "/bookings", "", (), b'{"bench": 3}')
STORED = StoredAnswer(200, (("content-type", "application/json"),), b'{"booked": 3}' * 10)


def main() -> None:
    """Print the bookings per second that one entry bears, by the size of the fleet."""
    for processes in SIZES:
        measure(processes)


def measure(processes: int) -> None:
    """Offer one entry more bookings than its share of the platform's calls bears."""
    platform = build_platform()
    platform.start()
    clock = SystemClock()
    budget = CallBudget(clock.monotonic(), processes=processes)
    client = PlatformClient(platform.address, clock, budget, Random(1))
    claims = Claims(client, clock, "entry", random=Random(1))
    claims.start()
    counts: Counter[str] = Counter()
    tasks = [gevent.spawn(book_on, claims, number, counts) for number in range(CALLERS)]
    gevent.sleep(MEASURE_S)
    gevent.killall(tasks)
    writes = platform.calls["create"] + platform.calls["update"] + platform.calls["delete"]
    done = counts["done"]
    print(
        f"{processes} processes: {done / MEASURE_S:.1f} bookings/s at one entry, "
        f"{writes / max(1, done):.2f} writes each, {counts['refused']} refused as not run, "
        f"{counts['other']} otherwise"
    )
    platform.stop()


def book_on(claims: Claims, caller: int, counts: Counter[str]) -> None:
    """Make one booking after another."""
    number = 0
    while True:
        number += 1
        counts[book(claims, f"{caller}-{number}")] += 1
        time.sleep(0.1)


def book(claims: Claims, key: str) -> str:
    """Make one booking and return how it ended."""
    request = Request(
        id=key,
        customer="studio",
        service="booking",
        pool="booking",
        request_class="desk",
        tier=1,
        idempotent=False,
        arrived=0.0,
        deadline=0.0,
        idempotency_key=key,
    )
    begun = claims.begin(request, CALL)
    if begun.is_err():
        return _kind(begun.unwrap_err())
    marked = claims.mark_sent(begun.unwrap())
    if marked.is_err():
        return _kind(marked.unwrap_err())
    claims.complete(marked.unwrap(), STORED)
    return "done"


def _kind(refused) -> str:
    return "refused" if refused.verdict.value == "not-run" else "other"


if __name__ == "__main__":
    main()
