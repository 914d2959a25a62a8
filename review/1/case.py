"""A replica spoils one event of a stream: the events that came with it never reach the client."""

from __future__ import annotations

import asyncio
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import LAST_CHUNK, Client, Lab, Replica, chunk, event, run_case, stream_head, trouble

CASE = Path(__file__).resolve().parent
EVENTS = 10
CLIENTS = 4
STREAMS = 120
SPOILED_EVERY = 20
"""One answer in 20 is spoiled (0.05, the largest share in the pages), at three replicas of five."""

REPLICAS = 5
SPOILING = 3

EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


class StreamReplica(Replica):
    """Sends ten events, two at a time; `spoils` spoils one digit in some of its answers."""

    spoils = False
    answers = 0

    async def answer(self, head, body, reader, writer):
        """Send the events after `Last-Event-Id`."""
        self.answers += 1
        spoiled = self.spoils and trouble() and self.answers % SPOILED_EVERY == 4
        writer.write(stream_head(head))
        first = int(head.get("last-event-id") or "0") + 1
        for number in range(first, EVENTS + 1, 2):
            pieces = range(number, min(number + 2, EVENTS + 1))
            data = b"".join(event(id, f"piece-{id}") for id in pieces)
            if spoiled and number == 5:
                data = data.replace(b"id: 6\n", b"id: 8\n")
                self.record.note("spoiled", replica=self.id, id=head.get("attempt-id"), piece=6)
            writer.write(chunk(data))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(LAST_CHUNK)
        await writer.drain()
        return True


async def main(lab: Lab) -> str:
    """Read streams, four clients at a time, and look for missing pieces."""
    await lab.configure()
    for number in range(REPLICAS):
        replica = StreamReplica(lab.record, f"i-llm-{number}", "llm")
        replica.spoils = number < SPOILING
        await lab.add(replica)
    gateway = lab.gateway()
    gateway.start()
    await gateway.wait_ready()
    broken = []

    async def read_streams(name: str) -> None:
        client = Client(lab.record, gateway.port, name)
        for number in range(STREAMS // CLIENTS):
            id = f"{name}-{number}"
            answer = await client.call("POST", "/answer/2f", id, body=b"q")
            ids = [int(found) for found, _ in EVENT.findall(answer.body)]
            lab.record.note("pieces", id=id, complete=answer.complete, ids=",".join(map(str, ids)))
            if answer.status == 200 and answer.complete and ids != list(range(1, EVENTS + 1)):
                broken.append(f"{id} got {ids}")

    await asyncio.gather(*(read_streams(f"client-{number}") for number in range(CLIENTS)))
    return "; ".join(broken)


if __name__ == "__main__":
    sys.exit(run_case(CASE, main))
