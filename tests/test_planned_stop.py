"""A planned stop interrupts no request, and a rolling replacement of all entries fails none."""

import signal
import socket

import gevent
import pytest

from hickoryloom.http import JsonClient
from hickoryloom.standins import answer_tokens
from tests.harness import wait_until
from tests.site import start_site

pytestmark = [pytest.mark.processes, pytest.mark.seconds(23)]

LOAD_CALLERS = 12
CLOSED_WITHIN_S = 3.0
"""`drain_s` of the site, and the rest of the target of 3 s for the balancer."""


@pytest.fixture
def site(tmp_path):
    site = start_site(tmp_path)
    yield site
    site.stop()


class LoadBalancer:
    """Directs callers to entries whose `/readyz` returns 200, like the platform's load balancer."""

    def __init__(self, site):
        self._site = site
        self._ready = []
        self._task = gevent.spawn(self._run)
        wait_until(lambda: self._ready)

    def choose(self, number):
        return self._ready[number % len(self._ready)]

    def stop(self):
        self._task.kill()

    def _run(self):
        while True:
            names = [name for name in self._site.addresses if name.startswith("entry-")]
            self._ready = [name for name in names if self._is_ready(name)]
            gevent.sleep(0.05)

    def _is_ready(self, name):
        client = JsonClient(self._site.addresses[name]["admin"], timeout_s=2)
        answer = client.call("GET", "/readyz")
        client.close()
        return answer.is_ok() and answer.unwrap().status == 200


class LoadGenerator:
    """Callers that each send requests one after the other and store every response."""

    def __init__(self, site, key, choose):
        self.replies = []
        self.errors = []
        self._site = site
        self._key = key
        self._choose = choose
        self._stopping = False
        self._tasks = [gevent.spawn(self._run, number) for number in range(LOAD_CALLERS)]

    def finish(self):
        self._stopping = True
        gevent.joinall(self._tasks, raise_error=True)

    def _run(self, number):
        sent = 0
        while not self._stopping:
            sent += 1
            messages = [{"role": "user", "content": f"question {sent} of caller {number}"}]
            try:
                reply = self._site.ask(
                    self._choose(number), self._key, messages=messages, max_tokens=40
                )
            except Exception as error:
                self.errors.append(repr(error))
                continue
            expected = {"model": "assistant", "max_tokens": 40, "messages": messages}
            self.replies.append((reply, "".join(answer_tokens(expected))))

    def failed(self):
        return [
            (reply.status, reply.body[-300:])
            for reply, text in self.replies
            if reply.status != 200 or not reply.complete or reply.text != text
        ]


def test_sigterm_under_load_interrupts_no_request(site):
    key = site.issue_key("studio")
    wait_until(lambda: site.ask("entry-1", key).status == 200)
    wait_until(lambda: site.ask("entry-2", key).status == 200)
    load_balancer = LoadBalancer(site)
    load = LoadGenerator(site, key, load_balancer.choose)
    wait_until(lambda: len(load.replies) > 2 * LOAD_CALLERS)
    entry = site.entries[0]
    entry.signal(signal.SIGTERM)
    gevent.sleep(0.2)
    assert entry.terminate() == 0
    gevent.sleep(0.5)
    load.finish()
    load_balancer.stop()
    assert load.errors == []
    assert load.failed() == []


def test_rolling_replacement_of_all_entries_fails_no_request(site):
    key = site.issue_key("studio")
    wait_until(lambda: site.ask("entry-2", key).status == 200)
    load_balancer = LoadBalancer(site)
    load = LoadGenerator(site, key, load_balancer.choose)
    wait_until(lambda: len(load.replies) > LOAD_CALLERS)
    for entry in list(site.entries):
        new_entry = site.add_entry()
        site.wait_serving(new_entry)
        wait_until(lambda new_entry=new_entry: site.ask(new_entry, key).status == 200)
        assert entry.terminate() == 0
    load.finish()
    load_balancer.stop()
    assert len(load.replies) > 5 * LOAD_CALLERS
    assert load.errors == []
    assert load.failed() == []


def test_response_in_progress_is_finished_after_sigterm(site):
    key = site.issue_key("studio")
    wait_until(lambda: site.ask("entry-1", key).status == 200)
    task = gevent.spawn(site.ask, "entry-1", key, max_tokens=400, answer_tokens=400)
    wait_until(lambda: site.status("entry-1")["open_requests"] == 1)
    entry = site.entries[0]
    entry.signal(signal.SIGTERM)
    gevent.sleep(0.7)
    entry.signal(signal.SIGTERM)
    reply = task.get(timeout=20)
    assert reply.status == 200 and reply.complete
    assert len(reply.events) >= 400
    assert entry.terminate() == 0


def test_an_entry_closes_idle_connections_before_it_hands_over_its_state(site):
    """Guards against calls that are read while the platform is waited for, and cut off then."""
    entry = site.entries[0]
    host, _, port = site.listen("entry-1").rpartition(":")
    site.processes[0].suspend()
    with socket.create_connection((host, int(port)), timeout=CLOSED_WITHIN_S) as idle:
        entry.signal(signal.SIGTERM)
        assert idle.recv(1) == b""
        assert entry.exit_code is None
