"""One unreadable entry among the servers hides all the others after a restart of all gateways.

Arguments: how the entry can't be read, `bytes` (the default), `digits` or `depth`.
"""

import os
import sys
import time
from pathlib import Path

import gevent

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

from lab_2 import Gateway, main, route, trouble  # noqa: E402

from hickoryloom.platform.tests.standin import Backend, build_response  # noqa: E402

KEY = "key-of-one"
TENANTS = [{"name": "one", "api_keys": [KEY], "priority": 1}]
HEARTBEAT_S = 1.2
BEFORE_S = 6.0
DOWN_S = 1.0
RECOVERY_S = 12.0
AFTER_S = 8.0
EVERY_S = 0.1
MARK = b'"@unreadable@"'
VALUES = {
    "bytes": b'"v\xff\xfe1"',
    "digits": b"9" * 5000,
    "depth": b"[" * 3000 + b"]" * 3000,
}


def play(lab):
    """Return the exit code: whether RECOVER holds with an unreadable entry."""
    value = VALUES[os.environ.get("UNREADABLE", "bytes")]
    serve = lab.store._server.application

    def serve_raw(environ, start_response):
        """Answer as the store does, with the bytes that the other writer stored."""
        replies = []
        body = b"".join(serve(environ, lambda *reply: replies.append(reply)))
        body = body.replace(MARK, value)
        status, headers = replies[0]
        kept = [pair for pair in headers if pair[0].lower() != "content-length"]
        start_response(status, [*kept, ("Content-Length", str(len(body)))])
        return [body]

    lab.store._server.application = serve_raw
    for number in (1, 2, 3):
        lab.add_backend(Backend(f"app-{number}", "app", answer(lab, f"app-{number}")))
    lab.configure(1, [route("read", "idempotent", "app", max_attempts=2)], ("app",), TENANTS)
    gateways = [lab.launch(f"edge-{number}") for number in (1, 2, 3)]
    for gateway in gateways:
        gateway.wait_ready()

    def write():
        sequence = 0
        while True:
            sequence += 1
            entry = {"service": "app", "zone": "zone-a", "state": "ready", "sequence": sequence}
            lab.store.put("servers", "other", {**entry, "version": "@unreadable@"})
            lab.note("another writer writes its entry")
            gevent.sleep(HEARTBEAT_S)

    writer = gevent.spawn(write) if trouble() else None
    before = measure(lab, gateways, "b", BEFORE_S)
    lab.say(f"before the final fault {before[0]} of {before[1]} requests are served")
    for gateway in gateways:
        gateway.kill()
    lab.say("all processes are killed")
    gevent.sleep(DOWN_S)
    back = [
        Gateway(lab, gateway.name, gateway.store, gateway.bounds, gateway.ports)
        for gateway in gateways
    ]
    lab.gateways += back
    began = time.monotonic()
    lab.note("the machines are back")
    gevent.sleep(RECOVERY_S)
    lab.note(f"ready: {[gateway.ready() for gateway in back]}")
    after = measure(lab, back, "a", AFTER_S)
    if writer is not None:
        writer.kill()
    lab.say(
        f"later than {RECOVERY_S:.0f} s after the machines are back {after[0]} of {after[1]} "
        f"requests are served, the last sent {time.monotonic() - began:.1f} s after"
    )
    if 4 * before[0] < before[1]:
        lab.say("less than a quarter was served before the final fault")
        return 2
    broken = 4 * after[0] < after[1]
    lab.say(f"RECOVER {'broken' if broken else 'held'}")
    return 1 if broken else 0


def answer(lab, server):
    """Return the script of a server that answers each request."""

    def script(request):
        lab.note(f"{server} runs {request['headers']['attempt-id']}")
        yield 0.02
        yield build_response(request, b"done")

    return script


def measure(lab, gateways, prefix, seconds):
    """Send requests to all gateways in turn; return how many were served, and of how many."""
    results, calls, count = [], [], 0

    def send(gateway, id):
        lab.note(f"sent to {gateway.name}: {id}")
        status, _, body = gateway.call("/read/x", id, key=KEY, method="GET")
        lab.note(f"answered: {id} {status} {body[:80]!r}")
        results.append(status == 200 and body == b"done")

    end = time.monotonic() + seconds
    while time.monotonic() < end:
        count += 1
        calls.append(gevent.spawn(send, gateways[count % len(gateways)], f"{prefix}{count}"))
        gevent.sleep(EVERY_S)
    gevent.joinall(calls)
    return sum(results), len(results)


if __name__ == "__main__":
    main(FOLDER, play)
