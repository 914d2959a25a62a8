"""Real gateway processes and backend servers that announce their leaving or ask for a pause."""

import time

import gevent
import pytest

from hickoryloom.platform.tests.standin import Backend, build_response, respond
from tests.harness import wait_until

pytestmark = [pytest.mark.processes, pytest.mark.seconds(30)]

PAUSE_S = 2.0


def announce_leaving(request):
    yield build_response(request, Server_Leaving="1")


def turn_away(request):
    yield build_response(
        request, b"", 503, signed=False, Not_Executed="1", Retry_After=str(PAUSE_S)
    )


def test_a_server_that_announces_its_leaving_gets_no_further_request(site):
    leaving = site.add_backend(Backend("i-1", "app", announce_leaving))
    gateway = site.start()
    status, headers, _ = gateway.call("/once/x", id="a")
    assert status == 200
    assert "server-leaving" not in {name.lower() for name in dict(headers)}
    site.add_backend(Backend("i-2", "app", respond))
    site.store.put("servers", "i-1", leaving.registration(sequence=9, warmup_left_ms=5))
    for number in range(10):
        assert gateway.call("/once/x", id=f"b{number}")[0] in (200, 503)
        gevent.sleep(0.1)
    assert gateway.call("/once/x", id="c")[0] == 200
    assert len(leaving.requests) == 1


def test_another_server_at_the_address_of_one_that_left_is_used(site):
    leaving = site.add_backend(Backend("i-1", "app", announce_leaving))
    gateway = site.start()
    assert gateway.call("/once/x", id="a")[0] == 200
    site.store.remove("servers", "i-1")
    leaving.id, leaving.script = "i-9", respond
    site.store.put("servers", "i-9", leaving.registration(born=2))
    wait_until(lambda: gateway.call("/once/x", id="b")[0] == 200)


def test_a_server_that_asks_for_a_pause_gets_none_until_its_end(site):
    full = site.add_backend(Backend("i-1", "app", turn_away))
    site.add_backend(Backend("i-2", "app", respond))
    gateway = site.start()
    wait_until(lambda: gateway.call("/read/x", id="a")[0] == 200 and full.requests)
    paused_at, received = time.monotonic(), len(full.requests)
    number = 0
    while time.monotonic() < paused_at + PAUSE_S - 0.2:
        number += 1
        assert gateway.call("/read/x", id=f"b{number}")[0] == 200
        gevent.sleep(0.02)
    assert len(full.requests) == received
    full.script = respond
    wait_until(lambda: gateway.call("/read/x", id="c")[0] == 200 and len(full.requests) > received)
    assert gateway.events("pause-requested")


def test_callers_are_refused_at_once_while_all_servers_pause(site):
    full = site.add_backend(Backend("i-1", "app", turn_away))
    gateway = site.start()
    assert gateway.call("/once/x", id="a")[0] == 503
    started_at = time.monotonic()
    status, headers, _ = gateway.call("/once/x", id="b")
    assert (status, len(full.requests)) == (503, 1)
    assert time.monotonic() - started_at < 0.5
    retry_after_s = float({k.lower(): v for k, v in dict(headers).items()}["retry-after"])
    assert retry_after_s > 0.5


MAX_IN_PAUSE = 2


@pytest.mark.parametrize("changed", ["no start", "the start known later"])
def test_a_pause_outlasts_a_registration_that_names_no_start(site, changed):
    asked = []

    def turn_away_once_named(request):
        """Ask for a pause in the first response only."""
        named = {} if asked else {"Retry_After": str(PAUSE_S)}
        asked.append(time.monotonic())
        yield build_response(request, b"", 503, signed=False, Not_Executed="1", **named)

    full = Backend("i-1", "app", turn_away_once_named)
    with_start = full.registration(sequence=9)
    without_start = {name: value for name, value in with_start.items() if name != "born"}
    first, later = with_start, without_start
    if changed == "the start known later":
        first, later = later, first
    site.backends.append(full)
    site.store.put("servers", "i-1", first)
    gateway = site.start()
    wait_until(lambda: gateway.call("/once/x", id="a")[0] == 503 and asked)
    site.store.put("servers", "i-1", later)
    gevent.sleep(0.5)
    before = len(asked)
    number = 0
    while time.monotonic() < asked[0] + PAUSE_S - 0.2:
        number += 1
        gateway.call("/once/x", id=f"b{number}")
        gevent.sleep(0.05)
    assert len(asked) - before <= MAX_IN_PAUSE
