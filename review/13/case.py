"""One entry of another writer that can't be read hides all replicas from a gateway that starts."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab_3 import RECOVERY_S, Lab, main  # noqa: E402

UNREADABLE = b'1, "adapters": []}]}'
"""The last bytes of an entry whose beginning is lost."""

REQUESTS = 40


async def serve_share(lab: Lab) -> float:
    """Send requests to all gateways in turn; return the share that is served."""
    served = 0
    for number in range(REQUESTS):
        status, _ = await lab.send(lab.gateways[number % len(lab.gateways)], "/read/x")
        served += status == 200
        await asyncio.sleep(0.05)
    return served / REQUESTS


async def run(lab: Lab) -> str:
    """Run the case."""
    await lab.open()
    for number in range(3):
        await lab.add_replica(f"i-{number}a5f38c2")
    for name in ("edge-palermo-1", "edge-palermo-2"):
        await lab.gateway(name).start()
    for gateway in lab.gateways:
        assert await gateway.wait_ready(20.0), "a gateway did not start"
    before = await serve_share(lab)
    lab.record.write("share-served", before=before)
    assert before > 0.9, "requests are not served before the final fault"
    if lab.trouble:
        await lab.store.put("servers", "m-7c01e9", UNREADABLE)
        lab.record.write("unreadable-entry", name="m-7c01e9", bytes=len(UNREADABLE))
    await asyncio.sleep(4.0)
    for gateway in lab.gateways:
        await gateway.kill()
    lab.record.write("all-killed")
    await asyncio.sleep(0.5)
    for gateway in lab.gateways:
        await gateway.start()
    back_at = time.monotonic()
    await asyncio.sleep(RECOVERY_S + 0.5)
    for gateway in lab.gateways:
        lab.record.write("readiness", gateway=gateway.name, status=await gateway.status())
    after = await serve_share(lab)
    lab.record.write("share-served", after=after, since_s=f"{time.monotonic() - back_at:.1f}")
    if after < 0.25:
        return (
            f"RECOVER is broken: {after:.0%} of the requests sent later than {RECOVERY_S:.0f} s "
            f"after the machines were back are served, {before:.0%} before"
        )
    return ""


main(
    run,
    record_file=Path(__file__).resolve().parent / "record.txt",
    trouble=os.environ.get("TROUBLE", "1") != "0",
)
