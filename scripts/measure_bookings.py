"""Measure the rate of at-most-once calls that one entry sustains within its platform call budget.

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
from hickoryloom.claims import Claims, StoredResponse
from hickoryloom.clock import SystemClock
from hickoryloom.http import Call
from hickoryloom.standins import build_platform
from hickoryloom.store import CallBudget, PlatformClient

MEASURE_S = 20.0
CALLERS = 40
SIZES = (14, 42, 140)
CALL = Call("POST", "/bookings", "", (), b'{"bench": 3}')
STORED = StoredResponse(200, (("content-type", "application/json"),), b'{"booked": 3}' * 10)


def main() -> None:
    """Print the bookings per second that one entry sustains, by number of processes."""
    for processes in SIZES:
        measure(processes)


def measure(processes: int) -> None:
    """Send one entry more bookings than its share of the platform call budget allows."""
    platform = build_platform()
    platform.start()
    clock = SystemClock()
    budget = CallBudget(clock.monotonic(), processes=processes)
    client = PlatformClient(platform.address, clock, budget, Random(1))
    claims = Claims(client, clock, "entry", random=Random(1))
    claims.start()
    counts: Counter[str] = Counter()
    tasks = [gevent.spawn(book_repeatedly, claims, number, counts) for number in range(CALLERS)]
    gevent.sleep(MEASURE_S)
    gevent.killall(tasks)
    writes = platform.calls["create"] + platform.calls["update"] + platform.calls["delete"]
    completed = counts["done"]
    print(
        f"{processes} processes: {completed / MEASURE_S:.1f} bookings/s at one entry, "
        f"{writes / max(1, completed):.2f} writes per booking, "
        f"{counts['refused']} refused as not run, {counts['other']} refused with another verdict"
    )
    platform.stop()


def book_repeatedly(claims: Claims, caller: int, counts: Counter[str]) -> None:
    """Make bookings sequentially without end."""
    number = 0
    while True:
        number += 1
        counts[book(claims, f"{caller}-{number}")] += 1
        time.sleep(0.1)


def book(claims: Claims, key: str) -> str:
    """Make one booking and return its outcome."""
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
    opened = claims.begin(request, CALL)
    if opened.is_err():
        return _outcome(opened.unwrap_err())
    sent = claims.mark_sent(opened.unwrap())
    if sent.is_err():
        return _outcome(sent.unwrap_err())
    claims.complete(sent.unwrap(), STORED)
    return "done"


def _outcome(refusal) -> str:
    return "refused" if refusal.verdict.value == "not-run" else "other"


if __name__ == "__main__":
    main()
