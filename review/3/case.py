"""All processes are killed while two versions of the replicas serve: streams can't be taken up."""

from __future__ import annotations

import asyncio
import re
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import LAST_CHUNK, Client, Lab, Replica, chunk, event, run_case, stream_head, trouble

CASE = Path(__file__).resolve().parent
GATEWAYS = 3
STREAMS = 24
EVENTS = 30
GAP_S = 0.2
BREAK_S = 2.0
DOWN_S = 1.0
DEADLINE_S = 12.0
"""Deadline of the site's resumable streams."""

CONTACT_S = 3.0
KNOWN_S = 8.0
"""Time before the streams begin, in which the processes learn of each other."""

MIN_TAKEN_UP = 12
TRIES = 3
EVENT = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")


class StreamReplica(Replica):
    """Sends the events after `Last-Event-Id`, one every 0.2 s."""

    def __init__(self, record, id: str, version: str) -> None:
        super().__init__(record, id, "llm")
        self.version = version

    def registration(self, **changes: object) -> dict:
        """Return its entry, with the version of its software."""
        return super().registration(version=self.version, **changes)

    async def answer(self, head, body, reader, writer):
        """Send a stream."""
        writer.write(stream_head(head))
        for number in range(int(head.get("last-event-id") or "0") + 1, EVENTS + 1):
            writer.write(chunk(event(number, f"{self.version}-{number}")))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(LAST_CHUNK)
        await writer.drain()
        return True


class Stream:
    """One client's stream, over its tries.

    Attributes:
        last: Id of the last event that the client has.
        is_whole: Whether the client has all events.
        went_on: Whether a try brought further events.
    """

    def __init__(self, lab: Lab, gateways: list, name: str) -> None:
        self.lab = lab
        self.gateways = gateways
        self.name = name
        self.first_id = f"{name}-1"
        self.began = time.monotonic()
        self.last = 0
        self.tries = 1
        self.statuses: list[int] = []
        self.is_whole = False
        self.went_on = False
        self._client: Client | None = None

    async def read(self, id: str, port: int, **headers: str) -> None:
        """Send one try and read its events until it ends or breaks off."""
        left_ms = int(1000 * (self.began + DEADLINE_S - time.monotonic()))
        client = self._client = Client(self.lab.record, port, self.name)
        had = self.last
        try:
            await client.send("POST", "/answer/2f", id, Deadline_Ms=str(left_ms), **headers)
            answer = await client.receive(id)
        except OSError:
            self.statuses.append(0)
            return
        finally:
            client.close()
        if answer.status == 200:
            ids = [int(found) for found in EVENT.findall(answer.body)]
            self.last = ids[-1] if ids else self.last
            self.went_on = self.last > had > 0
            self.is_whole = answer.complete and self.last == EVENTS
        self.statuses.append(answer.status)
        self.lab.record.note("events", id=id, after=had, last=self.last, whole=self.is_whole)

    def leave(self) -> None:
        """Break the connection off from the client's side."""
        if self._client is not None and self._client.writer is not None:
            self._client.writer.transport.abort()

    async def take_up(self, index: int) -> None:
        """Take the stream up where it broke off, as long as its deadline has not passed."""
        for number in range(TRIES):
            self.tries += 1
            gateway = self.gateways[(index + number) % len(self.gateways)]
            await self.read(
                f"{self.name}-{self.tries}",
                gateway.port,
                Last_Event_Id=str(self.last),
                Resumes=self.first_id,
            )
            if self.went_on:
                return
            await asyncio.sleep(0.5)


async def main(lab: Lab) -> str:
    """Break all streams off, take them up, and compare them with new ones."""
    await lab.configure()
    for number in range(4):
        version = "v1" if number < 2 else "v1.1"
        await lab.add(StreamReplica(lab.record, f"i-llm-{number}", version))
    gateways = [lab.gateway(f"edge-a-{number}") for number in range(1, GATEWAYS + 1)]
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(KNOWN_S)

    streams = [Stream(lab, gateways, f"stream-{index}") for index in range(STREAMS)]
    reads = [
        asyncio.create_task(stream.read(stream.first_id, gateways[index % GATEWAYS].port))
        for index, stream in enumerate(streams)
    ]
    await asyncio.sleep(BREAK_S)
    if trouble():
        lab.record.note("killed", gateways=GATEWAYS)
        for gateway in gateways:
            gateway.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for gateway in gateways:
            gateway.start()
    else:
        for stream in streams:
            stream.leave()
        await asyncio.sleep(DOWN_S)
    in_touch_at = time.monotonic() + CONTACT_S
    await asyncio.gather(*reads)
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(max(0.0, in_touch_at - time.monotonic()) + 0.2)

    begun = [stream for stream in streams if 0 < stream.last < EVENTS]
    news = [Stream(lab, gateways, f"new-{index}") for index in range(STREAMS)]
    await asyncio.gather(
        *(stream.take_up(index) for index, stream in enumerate(begun)),
        *(
            stream.read(stream.first_id, gateways[index % GATEWAYS].port)
            for index, stream in enumerate(news)
        ),
    )
    went_on = sum(stream.went_on for stream in begun)
    new_begun = sum(200 in stream.statuses for stream in news)
    lab.record.note(
        "shares", taken_up=len(begun), went_on=went_on, new=len(news), new_begun=new_begun
    )
    if len(begun) < MIN_TAKEN_UP or not new_begun:
        raise RuntimeError(f"{len(begun)} streams to take up, {new_begun} new ones begun")
    if went_on / len(begun) < new_begun / len(news) / 2:
        return f"{went_on} of {len(begun)} streams went on; {new_begun} of {len(news)} new began"
    return ""


if __name__ == "__main__":
    sys.exit(run_case(CASE, main))
