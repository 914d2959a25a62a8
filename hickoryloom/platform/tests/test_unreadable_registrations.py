"""Real gateway processes beside registrations of another writer that can't be read."""

import itertools
import time

import gevent
import pytest

from hickoryloom.platform.tests.standin import Backend, respond
from tests.harness import wait_until

pytestmark = [pytest.mark.processes, pytest.mark.seconds(40)]

MARK = b'"@unreadable@"'
NAME_MARK = rb"\udcff"
VALUES = {
    "bytes": b'"v\xff\xfe1"',
    "digits": b"9" * 5000,
    "nested": b"[" * 3000 + b"]" * 3000,
    "nested-less": b"[" * 900 + b"]" * 900,
    "control": b'"\x00\x1b"',
    "escaped": b'"\\ud800"',
    "unclosed": b'"v1',
}
REGISTERED = {
    "service": "app",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "capacity": 4,
    "state": "ready",
    "version": "v1",
}


class Writer:
    """Another writer, whose entries hold bytes that can't be read in one place each.

    Args:
        site: The site.
        value: What the store returns in place of a mark.
        number: Number of entries.
    """

    def __init__(self, site, value, number):
        self._store, self._number = site.store, number
        self._sequence = itertools.count()
        serve = site.store._server.application

        def serve_raw(environ, start_response):
            replies = []
            body = b"".join(serve(environ, lambda *reply: replies.append(reply)))
            body = body.replace(MARK, value)
            if value != VALUES["escaped"]:
                body = body.replace(NAME_MARK, b"\xff")
            status, headers = replies[0]
            kept = [pair for pair in headers if pair[0].lower() != "content-length"]
            start_response(status, [*kept, ("Content-Length", str(len(body)))])
            return [body]

        site.store._server.application = serve_raw
        self._greenlet = gevent.spawn(self._run)

    def _run(self):
        while True:
            for number in range(self._number):
                self.write(number)
            gevent.sleep(0.6)

    def write(self, number):
        """Write an entry with an unreadable name, or an unreadable field."""
        entry = {**REGISTERED, "sequence": next(self._sequence)}
        fields = list(entry)
        place = number % (len(fields) + 1)
        if place == len(fields):
            self._store.put("servers", f"m{number}\udcff", entry)
        else:
            entry[fields[place]] = MARK[1:-1].decode()
            self._store.put("servers", f"m{number}", entry)

    def stop(self):
        self._greenlet.kill()


def served_by(site, gateway, number, prefix):
    """Send requests; return the ids of the servers that ran them, one for each answer."""
    for backend in site.backends:
        backend.requests.clear()
    for index in range(number):
        status, _, body = gateway.call("/read/x", id=f"{prefix}{index}", method="GET")
        assert status == 200
    return [backend.id for backend in site.backends for _ in backend.requests]


@pytest.mark.parametrize("kind", VALUES)
def test_servers_that_leave_and_come_are_known_beside_unreadable_entries(site, kind):
    """Guards against one entry that hides all others from a process, running or new."""
    site.add_backend(Backend("app-1", "app", respond))
    site.add_backend(Backend("app-2", "app", respond))
    gateway = site.start()
    writer = Writer(site, VALUES[kind], 16)
    gevent.sleep(0.8)
    site.add_backend(Backend("app-3", "app", respond))
    site.store.remove("servers", "app-1")
    wait_until(lambda: served_by(site, gateway, 8, f"a{time.monotonic()}-").count("app-3") >= 2)
    gevent.sleep(2.0)
    assert set(served_by(site, gateway, 12, "b")) == {"app-2", "app-3"}

    gateway.kill()
    started_at = time.monotonic()
    again = site.start("edge-2")
    assert time.monotonic() - started_at < 6.0
    assert set(served_by(site, again, 12, "c")) == {"app-2", "app-3"}
    for process in (gateway, again):
        assert len(process.events("registration-unusable")) <= 16
    writer.stop()
