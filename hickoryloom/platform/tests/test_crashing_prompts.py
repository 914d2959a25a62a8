"""Real gateway processes, and backend servers that a part of some prompts crashes."""

import itertools
import time

import gevent
import pytest

from hickoryloom.platform.tests.standin import (
    LAST_CHUNK,
    Backend,
    build_event,
    build_stream_head,
)

pytestmark = [pytest.mark.processes, pytest.mark.seconds(40)]

CRASHES = 5
CONTACT_S = 3.0
MAX_SENT_AFTER_CONTACT = 3
BAD_PART = "bad0"
SHARED = "aaaa:600,5e55:300"


class CrashingServers:
    """Engines that end when they begin to respond to a prompt with a bad part.

    Attributes:
        crashes: Monotonic time of each crash.
        reached: Monotonic time of each request with the bad part that reached a server.
    """

    def __init__(self, site, number):
        self.crashes = []
        self.reached = []
        self._site = site
        self._starts = itertools.count(2)
        for index in range(number):
            backend = Backend(f"i-{index}", "llm", None)
            backend.script = lambda request, backend=backend: self._respond(backend, request)
            site.add_backend(backend)

    def _respond(self, backend, request):
        yield build_stream_head(request)
        if BAD_PART in request["headers"].get("prompt-prefix", ""):
            self.reached.append(time.monotonic())
            yield 0.02
            self.crashes.append(time.monotonic())
            born = next(self._starts)
            self._site.store.put("servers", backend.id, backend.registration(born=born))
            yield Backend.CLOSE
        yield build_event(1)
        yield 0.15
        yield build_event(2)
        yield LAST_CHUNK

    def reached_after_contact(self):
        """Return the requests that reached a server after the grace time of the fifth crash."""
        if len(self.crashes) < CRASHES:
            return []
        end = self.crashes[CRASHES - 1] + CONTACT_S
        return [at for at in self.reached if at > end]


def call(gateway, id, parts):
    """Send a prompt; return the status and headers, or 0 if the response was broken off."""
    last = f"{id.encode().hex()}:100"
    try:
        status, headers, _ = gateway.call(
            "/answer/x", id=id, Token_Count="1000,50", Prompt_Prefix=f"{parts},{last}"
        )
    except Exception:
        return 0, {}
    return status, {name.lower(): value for name, value in headers.items()}


def send_bad(gateways, seconds, pause_s=0.25):
    """Send prompts with the bad part to all gateways in turn; return the responses."""
    responses, end = [], time.monotonic() + seconds
    turns = itertools.cycle(gateways)
    while time.monotonic() < end:
        responses.append(call(next(turns), f"bad-{len(responses)}", f"{SHARED},{BAD_PART}:200"))
        gevent.sleep(pause_s)
    return responses


def test_prompts_with_a_part_that_crashes_servers_are_not_sent_to_further_ones(site):
    servers = CrashingServers(site, 6)
    gateways = [site.start(f"edge-{number}") for number in range(1, 4)]
    bad = gevent.spawn(send_bad, gateways, 10.0)
    sound = []
    while not bad.ready():
        for gateway in gateways:
            sound.append((time.monotonic(), call(gateway, f"sound-{len(sound)}", SHARED)[0]))
    assert len(servers.reached_after_contact()) <= MAX_SENT_AFTER_CONTACT
    later = [status for at, status in sound if at > servers.crashes[-1] + 0.5]
    assert later
    assert later.count(200) > 0.9 * len(later)
    refused = [headers for status, headers in bad.value if status == 503]
    assert refused
    assert all(float(headers["retry-after"]) > 0 for headers in refused)


RESETTING = "aa01:100,fa11:20"


def reset_or_answer(request):
    """Reset the connection of one prompt before the head; answer all others."""
    if request["headers"].get("prompt-prefix") == RESETTING:
        yield Backend.RESET
    yield 0.2
    yield build_stream_head(request) + build_event(1) + LAST_CHUNK


def test_prompts_that_share_a_part_with_a_prompt_that_is_cut_off_are_served(site):
    for index in range(10):
        site.add_backend(Backend(f"i-{index}", "llm", reset_or_answer))
    gateways = [site.start(f"edge-{number}") for number in range(1, 4)]

    def send_resetting():
        turns = itertools.cycle(gateways)
        for number in range(20):
            gateway = next(turns)
            id = f"cut-{number}"
            gateway.call("/draft/x", id=id, Token_Count="500,50", Prompt_Prefix=RESETTING)
            gevent.sleep(0.4)

    def send_sound(gateway, name):
        statuses = []
        while not resetting.ready():
            id = f"{name}-{len(statuses)}"
            parts = f"aa01:100,{id.encode().hex()}:20"
            try:
                status, _, _ = gateway.call(
                    "/draft/x", id=id, Token_Count="500,50", Prompt_Prefix=parts
                )
            except Exception:
                status = 0
            statuses.append(status)
        return statuses

    resetting = gevent.spawn(send_resetting)
    senders = [gevent.spawn(send_sound, gateway, f"s{i}") for i, gateway in enumerate(gateways)]
    statuses = [status for sender in senders for status in sender.get()]
    resetting.get()
    assert statuses.count(200) >= 0.95 * len(statuses)
