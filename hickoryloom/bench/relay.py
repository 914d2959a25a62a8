"""Benchmark of the relay: an event source, a baseline relay, the real relay and their callers.

Each role runs in a separate process, so that the CPU time of a relay can be measured alone:

    python -m hickoryloom.bench.relay source --listen 127.0.0.1:7001
    python -m hickoryloom.bench.relay bare --source 127.0.0.1:7001 --listen 127.0.0.1:7002
    python -m hickoryloom.bench.relay relay --source 127.0.0.1:7001 --listen 127.0.0.1:7003
    python -m hickoryloom.bench.relay callers 127.0.0.1:7002 127.0.0.1:7003 --streams 200

`tests/test_relay_speed.py` starts the roles and compares the two relays.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import argparse
import json
import random
import resource
import sys
import time
import uuid
from collections.abc import Iterator
from typing import Any

import attrs
import falcon
import gevent
from gevent import socket
from gevent.event import Event
from geventhttpclient import HTTPClient

from hickoryloom.admission import Admitted, Request
from hickoryloom.clock import SystemClock
from hickoryloom.http import Call, JsonClient, Server
from hickoryloom.relay import Relay
from hickoryloom.routing import BackendView, Router

__all__ = ["CallersReport", "Figures", "main", "run_callers"]

PATH = "/v1/chat/completions"
COST_PATH = "/bench/cost"
START_SPREAD_S = 0.5
READ_BYTES = 65536
MAX_CONNECTIONS = 4096
BODY = json.dumps(
    {"model": "bench", "stream": True, "messages": [{"role": "user", "content": "x" * 200}]}
).encode()
EVENT_END = b"\n\n"


class EventSource:
    """Answers each request with a stream of events at a fixed rate.

    Args:
        events: Number of events per stream.
        pace_s: Seconds between two events.
    """

    def __init__(self, events: int, pace_s: float) -> None:
        self._events = events
        self._pace_s = pace_s

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Stream the events."""
        resp.content_type = "text/event-stream"
        resp.stream = self._stream(req.get_header("X-Request-Id") or "none")

    def _stream(self, id: str) -> Iterator[bytes]:
        next_event_at = time.monotonic()
        for position in range(self._events):
            yield _event(id, position, f"token{position} ", None)
            next_event_at += self._pace_s
            gevent.sleep(max(0.0, next_event_at - time.monotonic()))
        usage = {"prompt_tokens": 50, "completion_tokens": self._events}
        yield _event(id, self._events, "", usage)
        yield b"data: [DONE]\n\n"


class BareRelay:
    """Forwards events without routing decisions or checks, as the baseline.

    Args:
        source: `host:port` of the event source.
    """

    def __init__(self, source: str) -> None:
        host, _, port = source.rpartition(":")
        self._client = HTTPClient(
            host, int(port), concurrency=MAX_CONNECTIONS, network_timeout=60.0
        )

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Forward one request."""
        body = req.bounded_stream.read()
        headers = {"Content-Type": "application/json", "X-Request-Id": uuid.uuid4().hex}
        answer = self._client.post(PATH, body, headers)
        resp.content_type = answer.get("content-type")
        resp.stream = self._events(answer)

    def _events(self, answer: Any) -> Iterator[bytes]:
        while event := answer.readline(EVENT_END):
            yield event


class RelayUnderTest:
    """Forwards events through `hickoryloom.relay`.

    Args:
        source: `host:port` of the event source.
    """

    def __init__(self, source: str) -> None:
        clock = SystemClock()
        self._clock = clock
        router = Router(clock, random.Random(1), "local")
        router.set_views([BackendView("source", source, "local", "bench", slots=MAX_CONNECTIONS)])
        self._relay = Relay(router, clock)

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Forward one request."""
        body = req.bounded_stream.read()
        call = Call("POST", PATH, "", (("content-type", "application/json"),), body)
        answer = self._relay.open(self._admit(), call).unwrap()
        resp.content_type = dict(answer.headers)["content-type"]
        resp.stream = answer

    def _admit(self) -> Admitted:
        now = self._clock.monotonic()
        id = uuid.uuid4().hex
        request = Request(id, "c", "bench", "bench", "guest", 1, True, now, now + 10, stream=True)
        return Admitted(request, now, 0)


class _CostResource:
    """Resource that reports the CPU time and memory of its process."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the CPU seconds and the peak resident set size."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        resp.media = {"cpu_s": time.process_time(), "max_rss_kb": usage.ru_maxrss}


@attrs.frozen
class Figures:
    """Statistics of the streams from one target; times in milliseconds."""

    events: int
    broken: int
    first_p50_ms: float
    first_p95_ms: float
    gap_p50_ms: float
    gap_p95_ms: float
    gap_p99_ms: float


@attrs.define
class CallersReport:
    """Collects measurements of the streams from one target."""

    events: int = 0
    broken: int = 0
    firsts: list[float] = attrs.field(factory=list)
    gaps: list[float] = attrs.field(factory=list)

    def figures(self) -> Figures:
        """Return the statistics of all streams."""
        return Figures(
            self.events,
            self.broken,
            _quantile_ms(self.firsts, 0.5),
            _quantile_ms(self.firsts, 0.95),
            _quantile_ms(self.gaps, 0.5),
            _quantile_ms(self.gaps, 0.95),
            _quantile_ms(self.gaps, 0.99),
        )


def run_callers(targets: list[str], streams: int, key: str = "") -> list[Figures]:
    """Open `streams` concurrent streams at each target and read them to the end.

    Args:
        targets: `host:port` of each target.
        streams: Number of streams at each target.
        key: API key to send as a bearer token; empty for none.
    """
    reports = [CallersReport() for _ in targets]
    tasks = []
    for number in range(streams):
        for target, report in zip(targets, reports, strict=True):
            delay_s = START_SPREAD_S * number / streams
            tasks.append(gevent.spawn_later(delay_s, _read_stream, target, report, key))
    gevent.joinall(tasks)
    return [report.figures() for report in reports]


def read_resource_usage(address: str) -> dict[str, float]:
    """Return the CPU time and memory of a relay's process."""
    client = JsonClient(address, timeout_s=30.0)
    body: dict[str, float] = client.call("GET", COST_PATH).unwrap().body
    client.close()
    return body


def _read_stream(target: str, report: CallersReport, key: str) -> None:
    host, _, port = target.rpartition(":")
    authorization = f"Authorization: Bearer {key}\r\n" if key else ""
    head = f"POST {PATH} HTTP/1.1\r\nHost: {target}\r\nContent-Length: {len(BODY)}\r\n"
    try:
        sock = socket.create_connection((host, int(port)), timeout=60.0)
        started_at = time.monotonic()
        sock.sendall(f"{head}{authorization}Connection: close\r\n\r\n".encode() + BODY)
        _read_events(sock, started_at, report)
        sock.close()
    except OSError:
        report.broken += 1


def _read_events(sock: Any, started_at: float, report: CallersReport) -> None:
    previous, done = 0.0, False
    while data := sock.recv(READ_BYTES):
        now = time.monotonic()
        events = data.count(EVENT_END)
        if not events:
            continue
        done = done or b"[DONE]" in data
        report.events += events
        if previous:
            report.gaps.append(now - previous)
        else:
            report.firsts.append(now - started_at)
        previous = now
    report.broken += not done


def _event(id: str, position: int, text: str, usage: dict[str, int] | None) -> bytes:
    choice = {"index": 0, "finish_reason": None, "delta": {"role": "assistant", "content": text}}
    event = {"id": id, "position": position, "object": "chat.completion.chunk"}
    event |= {"choices": [choice], **({"usage": usage} if usage else {})}
    return b"data: " + json.dumps(event).encode() + EVENT_END


def _quantile_ms(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] * 1000, 2)


def _serve(handler: Any, listen: str) -> None:
    app = falcon.App()
    app.add_route(PATH, handler)
    app.add_route(COST_PATH, _CostResource())
    server = Server(app, listen)
    server.start()
    print(json.dumps({"address": server.address}), flush=True)
    Event().wait()


def main(arguments: list[str] | None = None) -> None:
    """Run one role of the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m hickoryloom.bench.relay", description=__doc__)
    roles = parser.add_subparsers(dest="role", required=True)
    for role in ("source", "bare", "relay"):
        role_parser = roles.add_parser(role)
        role_parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
        if role == "source":
            role_parser.add_argument("--events", type=int, default=100, help="events per stream")
            role_parser.add_argument(
                "--pace-ms", type=float, default=50.0, help="milliseconds between events"
            )
        else:
            role_parser.add_argument("--source", required=True, metavar="HOST:PORT")
    callers = roles.add_parser("callers")
    callers.add_argument("targets", nargs="+", metavar="HOST:PORT")
    callers.add_argument("--streams", type=int, default=200, help="streams at each target")
    callers.add_argument("--key", default="", help="API key to send as a bearer token")
    options = parser.parse_args(arguments)
    if options.role == "callers":
        figures = run_callers(options.targets, options.streams, options.key)
        print(json.dumps([attrs.asdict(target) for target in figures]), flush=True)
    elif options.role == "source":
        _serve(EventSource(options.events, options.pace_ms / 1000), options.listen)
    elif options.role == "bare":
        _serve(BareRelay(options.source), options.listen)
    else:
        _serve(RelayUnderTest(options.source), options.listen)


if __name__ == "__main__":
    main(sys.argv[1:])
