"""Entry processes that lose their connections to all backend servers; another one keeps its own."""

import gevent
import pytest
from geventhttpclient import HTTPClient

from hickoryloom.platform.tests.partition import AddressView, Wire
from tests.harness import wait_until
from tests.site import Site, call

pytestmark = [pytest.mark.processes, pytest.mark.seconds(25)]

CONTACT_S = 3.0
MIN_SERVED = 0.95


def forward_to(address):
    """Return a WSGI application that passes calls on to the platform."""
    host, _, port = address.rpartition(":")

    def serve(environ, start_response):
        client = HTTPClient(host, int(port), network_timeout=60.0)
        target = environ["PATH_INFO"] + "?" + environ["QUERY_STRING"]
        headers = {"Content-Type": "application/json"}
        body = environ["wsgi.input"].read()
        try:
            response = client.request(environ["REQUEST_METHOD"], target, body, headers)
            data = bytes(response.read())
        finally:
            client.close()
        start_response(f"{response.status_code} Status", [("Content-Type", "application/json")])
        return [data]

    return serve


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path)
    site.publish()
    for _ in range(2):
        site.add_engine()
        site.add_service()
    names = ("engine-1", "engine-2", "booking-1", "booking-2")
    site.wires = {
        site.addresses[name]["address"]: Wire(site.addresses[name]["address"]) for name in names
    }
    view = AddressView(forward_to(site.platform_address), site.wires)
    site.add_entry(platform=view.address)
    site.add_entry()
    yield site
    for wire in site.wires.values():
        wire.stop()
    view.stop()
    site.stop()


def send_all(site, entry, key, prefix):
    """Send one call of each kind to an entry; return the replies."""
    address = site.listen(entry)
    keyed = {"Authorization": f"Bearer {key}"}
    chat = {
        "model": "assistant",
        "max_tokens": 8,
        "messages": [{"role": "user", "content": prefix}],
    }
    calls = [
        ("POST", "/v1/chat/completions", {**chat, "stream": True}, keyed),
        ("POST", "/v1/chat/completions", chat, keyed),
        ("GET", "/services/booking/schedule", None, keyed),
        ("GET", "/services/booking/hours", None, {}),
        ("POST", "/services/booking/deposits", {}, {**keyed, "Idempotency-Key": f"{prefix}-key"}),
    ]
    spawned = [
        gevent.spawn(call, address, method, path, body, 10.0, **headers)
        for method, path, body, headers in calls
    ]
    return [greenlet.get() for greenlet in spawned]


@pytest.mark.parametrize("how", ["reset", "hang"])
def test_callers_of_an_entry_that_reaches_no_server_are_served(site, how):
    key = site.issue_key("studio")
    site.wait_serving("entry-1", "entry-2", servers=2)
    for entry in ("entry-1", "entry-2"):
        wait_until(lambda entry=entry: site.ask(entry, key).status == 200)
    assert [reply.status for reply in send_all(site, "entry-1", key, "before")] == [200] * 5
    for wire in site.wires.values():
        getattr(wire, how)()
    gevent.sleep(CONTACT_S)
    replies = [
        reply for turn in range(6) for reply in send_all(site, "entry-1", key, f"cut-{turn}")
    ]
    served = [reply for reply in replies if reply.status == 200]
    assert len(served) >= MIN_SERVED * len(replies), [reply.status for reply in replies]
    streams = replies[::5]
    assert all(reply.complete for reply in streams if reply.status == 200)
    ids = [reply.headers["x-request-id"] for reply in replies]
    assert len(set(ids)) == len(ids)
