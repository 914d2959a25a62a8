"""Real gateway processes, and engines of two software versions whose streams break off."""

import itertools
import random
import signal
import time
from functools import partial

import gevent
import pytest
from geventhttpclient import HTTPClient

from hickoryloom.platform.tests.site import HOST, KEY
from hickoryloom.platform.tests.standin import LAST_CHUNK, Backend, build_stream_head
from tests.harness import wait_until

pytestmark = [pytest.mark.processes, pytest.mark.seconds(60)]

MAX_MIXED = 2
EVENTS = 6
TOKENS = {"Token_Count": "100,50", "Prompt_Prefix": "5e55:100"}
"""A prompt without shared parts, which has no home among the engines."""


class Engines:
    """Engines of two versions; each event tells the version that wrote it.

    Attributes:
        breaks_after: Event after which new streams break off; `events` for none.
        pause_s: Seconds between events.
        events: Number of events of a stream.
    """

    def __init__(self, site, versions, breaks_after=EVENTS, pause_s=0.0, events=EVENTS):
        self.events = events
        self.breaks_after = breaks_after
        self.pause_s = pause_s
        self._site = site
        self._numbers = itertools.count()
        for version in versions:
            self.add(version)

    def add(self, version, id=None, **overrides):
        backend = Backend(id or f"i-{next(self._numbers)}", "llm", None)
        backend.script = lambda request: self._respond(backend, request)
        backend.version = version
        return self._site.add_backend(backend, version=version, **overrides)

    def _respond(self, backend, request):
        first = int(request["headers"].get("last-event-id", 0)) + 1
        last = self.events if first > 1 else self.breaks_after
        yield build_stream_head(request)
        for number in range(first, last + 1):
            data = f"id: {number}\ndata: {backend.version}\n\n".encode()
            yield f"{len(data):x}\r\n".encode() + data + b"\r\n"
            yield self.pause_s
        yield LAST_CHUNK if last == self.events else Backend.CLOSE


def versions_in(body):
    return {line for line in body.decode().splitlines() if line.startswith("data: ")}


def begin(gateway, id, events=2):
    """Begin a stream, leave after some events and return their versions."""
    client = HTTPClient("127.0.0.1", gateway.port, network_timeout=4.0, connection_timeout=2.0)
    headers = {"Host": HOST, "Attempt-Id": id, "Deadline-Ms": "4000", "X-Api-Key": KEY}
    headers.update({name.replace("_", "-"): value for name, value in TOKENS.items()})
    try:
        response = client.request("POST", "/draft/x", b"", headers)
        assert response.status_code == 200, response.status_code
        received = b""
        while received.count(b"\n\n") < events:
            received += bytes(response.read(1))
        return versions_in(received)
    finally:
        client.close()


def take_up(gateway, id, begun_by, events=2, **headers):
    """Take a stream up after some events; return status, versions, headers."""
    try:
        status, received, body = gateway.call(
            "/draft/x", id=id, Last_Event_Id=str(events), Resumes=begun_by, **TOKENS, **headers
        )
    except Exception:
        return 0, set(), {}
    return status, versions_in(body), {name.lower(): value for name, value in received.items()}


def start_gateways(site, number=3):
    gateways = [site.launch(f"edge-{index}") for index in range(number)]
    for gateway in gateways:
        gateway.wait_ready()
    wait_until_known(gateways)
    return gateways


def wait_until_known(gateways, timeout_s=20.0):
    """Wait until the instances know of each other."""
    deadline = time.monotonic() + timeout_s
    needed = f"instances {len(gateways)}"
    while not all(needed in gateway.metrics() for gateway in gateways):
        assert time.monotonic() < deadline, gateways[0].metrics()
        gevent.sleep(0.2)


def test_a_stream_that_breaks_off_goes_on_at_the_version_that_began_it(site):
    Engines(site, ["v1"] * 3 + ["v2"] * 3, breaks_after=2)
    gateway = site.start()
    mixed = whole = 0
    for number in range(40):
        status, _, body = gateway.call("/draft/x", id=f"s{number}", **TOKENS)
        mixed += len(versions_in(body)) > 1
        whole += status == 200 and body.count(b"\n\n") == EVENTS
    assert mixed <= MAX_MIXED
    assert whole >= 0.95 * 40


def test_a_caller_that_comes_back_gets_the_version_that_began_its_stream(site):
    Engines(site, ["v1"] * 3 + ["v2"] * 3, pause_s=0.05)
    gateways = start_gateways(site)
    rng = random.Random(33)
    mixed, taken_up = 0, 0
    for number in range(50):
        first, second, third = rng.sample(gateways, 3)
        versions = begin(first, f"s{number}")
        status, more, _ = take_up(second, f"t{number}", f"s{number}")
        mixed += len(versions | more) > 1
        taken_up += status == 200
        status, more, _ = take_up(third, f"u{number}", f"s{number}", events=4)
        mixed += len(versions | more) > 1
        taken_up += status == 200
    assert mixed <= MAX_MIXED
    assert taken_up >= 95


def test_a_stream_whose_instance_was_killed_goes_on_at_its_version(site):
    Engines(site, ["v1"] * 3 + ["v2"] * 3, pause_s=0.05)
    gateways = start_gateways(site, 4)
    begun = {f"s{number}": begin(gateways[0], f"s{number}") for number in range(12)}
    gateways[0].kill()
    results = [
        (versions, *take_up(gateways[1 + number % 3], f"t{number}", id)[:2])
        for number, (id, versions) in enumerate(begun.items())
    ]
    assert sum(len(versions | more) > 1 for versions, _, more in results) <= MAX_MIXED
    assert sum(status == 200 for _, status, _ in results) >= 11


def test_a_stream_that_began_before_the_rollout_goes_on_at_its_version(site):
    engines = Engines(site, ["v1"] * 2, pause_s=0.05)
    gateways = start_gateways(site)
    begun = {f"s{number}": begin(gateways[number % 3], f"s{number}") for number in range(12)}
    for _ in range(4):
        engines.add("v2")
    gevent.sleep(0.5)
    results = [
        (versions, *take_up(gateways[(1 + number) % 3], f"t{number}", id)[:2])
        for number, (id, versions) in enumerate(begun.items())
    ]
    assert not any(len(versions | more) > 1 for versions, _, more in results)
    assert sum(status == 200 for _, status, _ in results) >= 11


def test_a_stream_of_a_version_that_is_gone_is_refused_at_once(site):
    Engines(site, ["v1", "v2"], pause_s=0.05)
    gateways = start_gateways(site)
    versions = set()
    begun = [f"s{number}" for number in range(8)]
    for id in begun:
        versions |= begin(gateways[0], id)
    for backend in list(site.backends):
        if backend.version == "v1":
            site.store.put("servers", backend.id, backend.registration(state="draining"))
    gevent.sleep(0.5)
    refused = 0
    for number, id in enumerate(begun):
        started_at = time.monotonic()
        status, more, headers = take_up(gateways[1], f"t{number}", id)
        assert time.monotonic() - started_at < 1.5
        assert status in (200, 503)
        assert more <= {"data: v2"}
        if status == 503:
            refused += 1
            assert float(headers["retry-after"]) > 0
    assert versions == {"data: v1", "data: v2"}
    assert 0 < refused < 8


@pytest.mark.parametrize("begun_by", ["never-seen", "", "x" * 5000, "a/b c;d=e"])
def test_a_stream_of_unknown_origin_is_refused_while_two_versions_serve(site, begun_by):
    Engines(site, ["v1", "v2"])
    gateways = start_gateways(site, 2)
    sent = sum(len(backend.requests) for backend in site.backends)
    status, _, headers = take_up(gateways[1], "t1", begun_by)
    assert (status, float(headers["retry-after"]) > 0) == (503, True)
    assert sum(len(backend.requests) for backend in site.backends) == sent


def test_a_stream_goes_on_anywhere_while_one_version_serves(site):
    Engines(site, ["v1"] * 2)
    gateways = start_gateways(site, 2)
    assert take_up(gateways[1], "t1", "never-seen")[0] == 200
    assert take_up(gateways[0], "t2", "")[0] == 200


def wait_registered(gateway, gone):
    """Wait until an instance has seen servers leave."""
    wait_until(lambda: len(gateway.events("backend-server-gone")) >= gone)


def lose_all(site, gateways, meanwhile=lambda: None):
    """Kill all instances at once and start as many new ones."""
    for gateway in gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in gateways:
        gateway.kill()
    meanwhile()
    fresh = [site.launch(f"fresh-{index}") for index in range(len(gateways))]
    for gateway in fresh:
        gateway.wait_ready()
    return fresh


def test_streams_of_a_version_that_left_before_all_instances_died_are_not_continued(site):
    """Guards against new instances that take the service for uniform."""
    Engines(site, ["v1"] * 2, pause_s=0.05)
    gateways = start_gateways(site)
    begun = {f"s{number}": begin(gateways[number % 3], f"s{number}") for number in range(12)}
    engines = Engines(site, [], pause_s=0.05)
    for number in range(2):
        engines.add("v2", id=f"n-{number}")
    gevent.sleep(0.8)
    for number in range(12, 16):
        begin(gateways[number % 3], f"s{number}")
    for backend in [backend for backend in site.backends if backend.version == "v1"]:
        site.store.remove("servers", backend.id)
    for gateway in gateways:
        wait_registered(gateway, 2)
    fresh = lose_all(site, gateways)
    results = [
        (versions, *take_up(fresh[number % 3], f"t{number}", id))
        for number, (id, versions) in enumerate(begun.items())
    ]
    assert sum(len(versions | more) > 1 for versions, _, more, _ in results) == 0
    assert {status for _, status, _, _ in results} == {503}
    assert all(float(headers["retry-after"]) > 0 for _, _, _, headers in results)
    assert take_up(fresh[0], "u1", "never-seen")[0] == 503


def test_streams_go_on_after_the_loss_of_all_instances_if_one_version_serves(site):
    """Guards against refusals of streams that any server may continue."""
    Engines(site, ["v1"] * 2, pause_s=0.05)
    gateways = start_gateways(site)
    for number in range(12):
        begin(gateways[number % 3], f"s{number}")
    fresh = lose_all(site, gateways)
    results = [take_up(fresh[number % 3], f"t{number}", f"s{number}") for number in range(12)]
    assert [status for status, _, _ in results] == [200] * 12


@pytest.mark.parametrize("joins", ["before", "while-all-are-lost"])
def test_streams_go_on_after_the_loss_of_all_instances_if_two_versions_serve(site, joins):
    """Guards against origins of streams that only the memory of instances holds."""
    engines = Engines(site, ["v1"] * 2, pause_s=0.05)
    if joins == "before":
        engines.add("v2")
        engines.add("v2")
    gateways = start_gateways(site)
    begun = {f"s{number}": begin(gateways[number % 3], f"s{number}") for number in range(12)}
    gevent.sleep(1.0)
    add = partial(engines.add, "v2") if joins == "while-all-are-lost" else lambda: None
    fresh = lose_all(site, gateways, add)
    wait_until_known(fresh)
    results = [
        (versions, *take_up(fresh[number % 3], f"t{number}", id)[:2])
        for number, (id, versions) in enumerate(begun.items())
    ]
    assert {len(versions | more) for versions, _, more in results} == {1}
    assert [status for _, status, _ in results] == [200] * 12


def test_streams_go_on_while_one_instance_that_knows_them_lives(site):
    """Guards against refusals although two servers of the version serve."""
    Engines(site, ["v1"] * 2 + ["v2"] * 2, pause_s=0.05)
    gateways = start_gateways(site, 4)
    begun = {f"s{number}": begin(gateways[0], f"s{number}") for number in range(16)}
    fresh = lose_all(site, gateways[:3])
    wait_until_known([*fresh, gateways[3]])
    results = [
        (versions, *take_up(fresh[number % 3], f"t{number}", id)[:2])
        for number, (id, versions) in enumerate(begun.items())
    ]
    assert not any(len(versions | more) > 1 for versions, _, more in results)
    assert sum(status == 200 for _, status, _ in results) >= 8


def test_a_list_that_can_not_be_read_delays_streams_briefly_and_stops_unknown_ones(site):
    """Guards against streams that wait for the store for long, or go on without the list."""
    site.store.rejected_kind = "stream-versions"
    Engines(site, ["v1"] * 2)
    gateway = site.start()
    started_at = time.monotonic()
    assert begin(gateway, "s1") == {"data: v1"}
    assert time.monotonic() - started_at < 2.0
    status, headers, body = gateway.call(
        "/draft/x", id="t1", Last_Event_Id="2", Resumes="never-seen", **TOKENS
    )
    assert status == 503
    assert b"versions-unknown" in body
    site.store.rejected_kind = ""
    wait_until(lambda: take_up(gateway, "t2", "never-seen")[0] == 200, 3.0)
    assert gateway.events("version-not-listed")


def test_a_stream_without_time_to_wait_for_the_list_is_refused(site):
    """Guards against a refusal that comes too late for another instance to serve the caller."""
    engines = Engines(site, ["v1"])
    gateway = site.start()
    assert begin(gateway, "s1") == {"data: v1"}
    site.store.rejected_kind = "stream-versions"
    engines.add("v2")
    site.store.remove("servers", "i-0")
    wait_registered(gateway, 1)
    status, headers, body = gateway.call("/draft/x", id="s2", Deadline_Ms="600", **TOKENS)
    assert status == 503
    assert b"version-not-listed" in body


def test_a_version_costs_few_calls_to_the_store(site):
    engines = Engines(site, ["v1"])
    gateways = start_gateways(site)
    for gateway in gateways:
        begin(gateway, f"s-{gateway.port}")
    engines.add("v2")
    wait_until(lambda: all("versions-mixed" in gateway.log() for gateway in gateways))
    gevent.sleep(2.0)
    calls = [call for call in site.store.calls if "/stream-versions" in call[1]]
    writes = [call for call in calls if call[0] != "GET"]
    assert site.store.objects["stream-versions", "llm"]["spec"]["versions"] == {"v1": {}, "v2": {}}
    assert len(writes) <= 4, calls
    assert len(calls) <= 16, calls
