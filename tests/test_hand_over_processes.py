"""Entry processes that lose their connections to all backend servers; another one keeps its own."""

import gevent
import pytest
from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient

from hickoryloom.platform.tests.partition import Wire
from tests.harness import wait_until
from tests.site import Site, call

pytestmark = [pytest.mark.processes, pytest.mark.seconds(25)]

CONTACT_S = 3.0
MIN_SERVED = 0.95


class PlatformView:
    """The platform as one entry sees it, with addresses of its own for the backend servers."""

    def __init__(self, address, wires):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._wires = wires
        self._server = WSGIServer(("127.0.0.1", 0), self._serve, log=None, error_log=None)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0.1)

    def _serve(self, environ, start_response):
        client = HTTPClient(self._host, self._port, network_timeout=60.0)
        target = environ["PATH_INFO"] + "?" + environ["QUERY_STRING"]
        headers = {"Content-Type": "application/json"}
        body = environ["wsgi.input"].read()
        try:
            response = client.request(environ["REQUEST_METHOD"], target, body, headers)
            text = bytes(response.read()).decode()
        finally:
            client.close()
        for address, wire in self._wires.items():
            text = text.replace(f'"{address}"', f'"{wire.address}"')
        data = text.encode()
        start_response(
            f"{response.status_code} Status",
            [("Content-Type", "application/json"), ("Content-Length", str(len(data)))],
        )
        return [data]


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
    view = PlatformView(site.platform_address, site.wires)
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
