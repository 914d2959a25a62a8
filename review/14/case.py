"""One stream that a faulty replica fills with comments stops all other requests of a gateway."""

import asyncio
import json
import os
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab_3 import HOST, KEY, Gateway, Lab, Replica, configuration, main, message  # noqa: E402

ROUTE_TIMEOUT_S = 1.5
GRACE_S = 0.5
CLIENT_S = 3.0
PAUSE_S = 0.1
OBSERVED_S = 9.0
EVENTS = 40
EVENT_S = 0.03

FLOOD_S = 5.0
"""Below `for_s = 5.5`, the longest `garble` of the site file."""

SPOILED = 1 / 20
"""`x = 0.05`, the largest share of answers that `garble` of the site file spoils."""

COMMENT = b": keep-alive\n\n"
LINK_BYTES_PER_S = 1_000_000_000 / 8


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Engine(Replica):
    """A model replica that streams events; a faulty one spoils some of its answers."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.capacity = 64
        self.spoils = False
        self.answers = 0
        self.flooded_bytes = 0

    async def serve(
        self, start: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request."""
        id = headers.get("attempt-id", "")
        if not id or headers.get("expect-replica", self.id) != self.id:
            return await super().serve(start, headers, body, writer)
        self.answers += 1
        self._record.write("runs", replica=self.id, id=id)
        lines = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {id}",
            "Replica-Signature: 3e1b.07.5a2",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            writer.write(chunk(b"id: %d\ndata: token\n\n" % number))
            await writer.drain()
            if self.spoils and self.answers * SPOILED >= 1 and not self.flooded_bytes:
                await self._flood(id, writer)
                return False
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _flood(self, id: str, writer: asyncio.StreamWriter) -> None:
        """Send comments for some seconds, no faster than the link, then break the answer off."""
        self._record.write("flood-begins", replica=self.id, id=id)
        block = chunk(COMMENT * 1000)
        started = time.monotonic()
        with suppress(OSError):
            while (took := time.monotonic() - started) < FLOOD_S:
                writer.write(block)
                await writer.drain()
                self.flooded_bytes += len(block)
                ahead_s = self.flooded_bytes / LINK_BYTES_PER_S - took
                await asyncio.sleep(max(0.0, ahead_s))
        rate = self.flooded_bytes * 8 / FLOOD_S / 1e6
        self._record.write("flood-ends", id=id, bytes=self.flooded_bytes, mbit_s=round(rate, 1))


def with_streams() -> bytes:
    """Return a configuration with a route for streams, as `shift-qa` of the site."""
    value = json.loads(configuration())
    value["routes"].append(
        {
            **value["routes"][1],
            "name": "draft",
            "path_prefix": "/draft/",
            "type": "streaming",
            "timeout_ms": 12000,
            "priority": 0,
            "service": "turni-llm",
            "session_affinity": True,
            "stream_resume": True,
            "itl_target_ms": 250,
        }
    )
    engine = {"capacity": 64, "kv_capacity": 278703, "kv_bytes": 18432, "models": [{"name": "m"}]}
    value["services"].append(
        {**value["services"][0], "name": "turni-llm", "inference_engine": engine}
    )
    return json.dumps(value).encode()


async def stream(lab: Lab, gateway: Gateway, number: int) -> None:
    """Send a request for a stream and read the answer to its end."""
    id = f"stream-{number}"
    headers = {
        "Host": HOST,
        "Attempt-Id": id,
        "Deadline-Ms": "12000",
        "X-Api-Key": KEY,
        "Model": "m",
        "Token-Count": "600,80",
        "Prompt-Prefix": f"5c1e07a2:119,{number:08x}:481",
    }
    lab.record.write("sent", id=id, gateway=gateway.name)
    reader, writer = await asyncio.open_connection(gateway.ip, gateway.frontend)
    size = 0
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(12.0):
            writer.write(message("POST /draft/x HTTP/1.1", headers, b"x" * 1700))
            while data := await reader.read(65536):
                size += len(data)
                if data.endswith(b"0\r\n\r\n"):
                    break
    lab.record.write("answered", id=id, bytes=size)
    writer.close()


async def look_up(lab: Lab, gateway: Gateway, took: list[float]) -> None:
    """Send one look-up; record the time until its answer."""
    sent_at = time.monotonic()
    status, _ = await lab.send(gateway, "/read/x", CLIENT_S)
    took.append(time.monotonic() - sent_at if status else CLIENT_S)


async def run(lab: Lab) -> str:
    """Run the case."""
    await lab.open(with_streams())
    for number in range(3):
        await lab.add_replica(f"i-{number}a5f38c2")
    engines = []
    for number in range(3):
        engine = Engine(f"i-{number}e77b01", "turni-llm", lab.store, lab.record, "palermo")
        engines.append(engine)
        lab.replicas.append(engine)
        await engine.register()
    engines[0].spoils = lab.trouble
    gateway = lab.gateway("edge-palermo-1")
    await gateway.start()
    assert await gateway.wait_ready(20.0), "the gateway did not start"
    await asyncio.sleep(3.5)
    took: list[float] = []
    tasks = []
    number = 0
    began = time.monotonic()
    until = began + 30.0
    while time.monotonic() < until:
        if number % 2 == 0:
            tasks.append(asyncio.create_task(stream(lab, gateway, number)))
        tasks.append(asyncio.create_task(look_up(lab, gateway, took)))
        number += 1
        await asyncio.sleep(PAUSE_S)
        if engines[0].flooded_bytes and until > time.monotonic() + OBSERVED_S:
            until = time.monotonic() + OBSERVED_S
    await asyncio.gather(*tasks)
    at_timeout = sum(seconds >= ROUTE_TIMEOUT_S for seconds in took)
    later = sum(seconds >= ROUTE_TIMEOUT_S + GRACE_S for seconds in took)
    lab.record.write(
        "result",
        look_ups=len(took),
        at_timeout=at_timeout,
        half_a_second_later=later,
        answers=[engine.answers for engine in engines],
    )
    if at_timeout and later > at_timeout / 2:
        return (
            f"CONFIG is broken: {at_timeout} of {len(took)} look-ups had no answer at their "
            f"route's timeout, and {later} of these none half a second later"
        )
    return ""


main(
    run,
    record_file=Path(__file__).resolve().parent / "record.txt",
    trouble=os.environ.get("TROUBLE", "1") != "0",
)
