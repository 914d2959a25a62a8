"""Real gateway processes, and backend servers that one request crashes whenever it is sent."""

import itertools
import time

import gevent
import pytest

from hickoryloom.platform.tests.standin import (
    LAST_CHUNK,
    Backend,
    build_event,
    build_response,
    build_stream_head,
)

pytestmark = [pytest.mark.processes, pytest.mark.seconds(50)]

CRASHES = 3
CONTACT_S = 3.0
MAX_SENT_AFTER_CONTACT = 3
RESTART_S = 0.5
RUN_S = 0.06
REPEATED = b"the request that crashes"

CASES = {
    "plain-with-body": ("/read/x", "POST", REPEATED, ""),
    "plain-without-body": ("/read/crashes", "GET", b"", ""),
    "prompt": ("/draft/x", "POST", b"", "aaaa:600,5e55:300,bad0:50"),
    "prompt-of-the-route-with-one-attempt": ("/answer/x", "POST", REPEATED, "aaaa:600,bad0:50"),
}


class CrashingServers:
    """Servers of one service that end when they run one request, and are back under another id.

    Attributes:
        crashes: Monotonic time of each crash.
        reached: Monotonic time of each time that the request reached a server.
    """

    def __init__(self, site, service, number, is_bad):
        self.crashes = []
        self.reached = []
        self._site = site
        self._is_bad = is_bad
        self._numbers = itertools.count(1)
        self._streams = service == "llm"
        for _ in range(number):
            backend = Backend(f"i-{next(self._numbers)}", service, None)
            backend.script = lambda request, backend=backend: self._respond(backend, request)
            site.add_backend(backend)

    def _respond(self, backend, request):
        started_as = backend.id
        if self._is_bad(request):
            self.reached.append(time.monotonic())
            yield RUN_S / 2
            if backend.id == started_as:
                self._crash(backend)
            yield Backend.CLOSE
        yield RUN_S
        if backend.id != started_as:
            yield Backend.CLOSE
        elif self._streams:
            yield build_stream_head(request) + build_event(1)
            yield 0.15
            yield build_event(2) + LAST_CHUNK
        else:
            yield build_response(request)

    def _crash(self, backend):
        self.crashes.append(time.monotonic())
        self._site.store.remove("servers", backend.id)
        backend.id = f"i-{next(self._numbers)}"
        gevent.spawn_later(RESTART_S, self._register, backend)

    def _register(self, backend):
        born = next(self._numbers)
        self._site.store.put("servers", backend.id, backend.registration(born=born))

    def reached_after_contact(self):
        """Return when the request reached a server later than the grace time of the third crash."""
        if len(self.crashes) < CRASHES:
            return []
        end = self.crashes[CRASHES - 1] + CONTACT_S
        return [at for at in self.reached if at > end]


def call(gateway, id, path, method, body, prompt):
    """Send a request; return the status and headers, or 0 if the response was broken off."""
    headers = {"Token_Count": "1000,50", "Prompt_Prefix": prompt} if prompt else {}
    try:
        status, received, _ = gateway.call(path, id=id, method=method, body=body, **headers)
    except Exception:
        return 0, {}
    return status, {name.lower(): value for name, value in received.items()}


def repeat(gateways, case, seconds, pause_s):
    """Send the request of a case to all gateways in turn; return the responses."""
    responses, end = [], time.monotonic() + seconds
    turns = itertools.cycle(gateways)
    while time.monotonic() < end:
        responses.append(call(next(turns), f"bad-{len(responses)}", *case))
        gevent.sleep(pause_s)
    return responses


def send_sound(gateways, path, prompt, until):
    """Send other requests of the same caller; return their times and statuses."""
    sent = []
    while not until():
        for gateway in gateways:
            id = f"sound-{len(sent)}"
            own = f"{prompt},{id.encode().hex()}:50" if prompt else ""
            at = time.monotonic()
            sent.append((at, call(gateway, id, path, "POST", id.encode(), own)[0]))
    return sent


@pytest.mark.parametrize("name", CASES)
def test_a_request_that_crashes_servers_is_not_sent_to_further_ones(site, name):
    path, method, body, prompt = case = CASES[name]
    service = "llm" if prompt else "app"
    servers = CrashingServers(
        site,
        service,
        4,
        lambda request: (request["target"], request["body"]) == (path, body)
        and request["headers"].get("prompt-prefix", "") == prompt,
    )
    gateways = [site.start(f"edge-{number}") for number in range(1, 4)]
    repeated = gevent.spawn(repeat, gateways, case, 10.0, 0.4)
    shared = prompt.rpartition(",")[0]
    sound = send_sound(gateways, path, shared, repeated.ready)
    assert len(servers.crashes) >= CRASHES
    assert len(servers.reached_after_contact()) <= MAX_SENT_AFTER_CONTACT
    later = [status for at, status in sound if at > servers.crashes[-1] + RESTART_S]
    assert later.count(200) >= 0.95 * len(later) > 0
    refused = [headers for status, headers in repeated.value if status == 503]
    assert refused
    assert all(float(headers["retry-after"]) > 0 for headers in refused)
    assert not any(400 <= status < 500 for status, _ in repeated.value)
