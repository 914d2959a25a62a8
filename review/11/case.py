"""One entry of another writer that can't be read stops all gateways for minutes."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab_3 import VALUE_BYTES, Gateway, Lab, main  # noqa: E402

ROUTE_TIMEOUT_S = 1.5
GRACE_S = 0.5
CLIENT_S = 3.0
OBSERVED_S = 15.0
PAUSE_S = 0.25

LEVEL = b'{"name":"palermo","children":[{"name":"augusta"},'
UNREADABLE = LEVEL * (100_000 // len(LEVEL))
"""A tree of places that is cut off; none of its objects is closed."""


async def serve_for(lab: Lab, gateway: Gateway, seconds: float, took: list[float]) -> None:
    """Send a request every quarter of a second; collect the times until their answers."""

    async def send(path: str) -> None:
        sent_at = time.monotonic()
        status, _ = await lab.send(gateway, path, CLIENT_S)
        took.append(time.monotonic() - sent_at if status else CLIENT_S)

    tasks = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(send("/book/x" if len(tasks) % 2 else "/read/x")))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)


def count_late(took: list[float]) -> tuple[int, int]:
    """Return how many requests had no answer at the route's timeout, and half a second later."""
    at_timeout = sum(seconds >= ROUTE_TIMEOUT_S for seconds in took)
    return at_timeout, sum(seconds >= ROUTE_TIMEOUT_S + GRACE_S for seconds in took)


async def run(lab: Lab) -> str:
    """Run the case."""
    assert len(UNREADABLE) < VALUE_BYTES
    await lab.open()
    for number in range(3):
        await lab.add_replica(f"i-{number}a5f38c2")
    for name in ("edge-palermo-1", "edge-catania-1", "edge-augusta-1"):
        await lab.gateway(name, name.split("-")[1]).start()
    for gateway in lab.gateways:
        assert await gateway.wait_ready(20.0), "a gateway did not start"
    # All machines are in touch from here on.
    await asyncio.sleep(3.5)
    before: list[float] = []
    await asyncio.gather(*(serve_for(lab, gateway, 3.0, before) for gateway in lab.gateways))
    assert count_late(before) == (0, 0), "requests are late without the entry"
    if lab.trouble:
        await lab.store.put("servers", "m-7c01e9", UNREADABLE)
        lab.record.write("unreadable-entry", name="m-7c01e9", bytes=len(UNREADABLE))
    took: list[float] = []
    await asyncio.gather(*(serve_for(lab, gateway, OBSERVED_S, took) for gateway in lab.gateways))
    for gateway in lab.gateways:
        lab.record.write("readiness", gateway=gateway.name, status=await gateway.status())
    at_timeout, later = count_late(took)
    lab.record.write("late", sent=len(took), at_timeout=at_timeout, half_a_second_later=later)
    if at_timeout and later > at_timeout / 2:
        return (
            f"CONFIG is broken: {at_timeout} of {len(took)} requests had no answer at their "
            f"route's timeout, and {later} of these none half a second later"
        )
    return ""


main(
    run,
    record_file=Path(__file__).resolve().parent / "record.txt",
    trouble=os.environ.get("TROUBLE", "1") != "0",
)
