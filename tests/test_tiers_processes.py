"""Tier order and reserves during a burst, with one entry suspended and with peers partitioned."""

import re
import time
from datetime import datetime

import gevent
import pytest
from gevent import socket

from tests.backends import read_journal
from tests.harness import Link, wait_until
from tests.site import DOCUMENTS, DOMAINS, Site

pytestmark = [pytest.mark.processes, pytest.mark.seconds(27)]

ENTRIES = ("entry-1", "entry-2", "entry-3")
PHASE_S = 6.0
GUESTS = 9
DRAFTS = 16
START_GRANT_S = 3.0
PRESSURE_HOLD_S = 0.8
LOG_SLACK_S = 0.02
ORDERED_REASONS = ("overload", "expected-late", "no-backend-server")
TIER_DOCUMENTS = {
    **DOCUMENTS,
    "classes": {
        "guest": {"tier": 1, "first_token_ms": 120, "token_gap_ms": 200},
        "draft": {"tier": 3, "first_token_ms": 2000, "token_gap_ms": 300, "reserve": 0.15},
    },
}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path, TIER_DOCUMENTS)
    site.links = []
    try:
        for domain in DOMAINS:
            site.add_engine(domain, "--token-ms", "20")
        site.add_service()
        site.publish()
        for _ in ENTRIES:
            port = free_port()
            link = Link(f"127.0.0.1:{port}")
            site.links.append(link)
            site.add_entry(peer_listen=f"127.0.0.1:{port}", advertise=link.address)
        site.wait_serving(*ENTRIES, servers=1)
        wait_until(lambda: all(len(site.status(e)["peers"]) == 2 for e in ENTRIES), 15)
        yield site
    finally:
        site.stop()
        for link in site.links:
            link.close()


class LoadGenerator:
    """Callers of one class, each of which sends its next request soon after a response."""

    def __init__(self, site, key, entry, name, count):
        self.site = site
        self.key = key
        self.tasks = [gevent.spawn(self._ask, entry, name) for _ in range(count)]

    def _ask(self, entry, name):
        while True:
            try:
                headers = {"X_Request_Class": name}
                self.site.ask(entry, self.key, max_tokens=30, headers=headers)
            except Exception:
                gevent.sleep(0.2)
            gevent.sleep(0.05)

    def stop(self):
        gevent.killall(self.tasks)


def events(site, kind):
    """Return time, entry and fields of the admission events of a kind in all entries' logs."""
    admission_events = []
    for process in site.entries:
        for line in process.log().splitlines():
            if f"event={kind} " not in line:
                continue
            fields = dict(re.findall(r'(\w+)=("[^"]*"|\S+)', line))
            if fields.get("pool") == "assistant":
                at = datetime.fromisoformat(fields["time"]).timestamp()
                admission_events.append((at, process.name, fields))
    return admission_events


def lower_tier_starts_after_refusals(site):
    refused = [
        at
        for at, _, f in events(site, "refuse")
        if f["tier"] == "1" and f["reason"] in ORDERED_REASONS
    ]
    starts = [
        (at, name, fields)
        for at, name, fields in events(site, "start")
        if fields["tier"] != "1" and fields["reserved"] == "False"
    ]
    return [
        start
        for start in starts
        if any(at + LOG_SLACK_S < start[0] < at + PRESSURE_HOLD_S for at in refused)
    ]


def assert_all_starts_logged(site):
    """Check against the engines' journals that the logs contain every start with its tier."""
    logged = {f["request_id"]: f["tier"] for _, _, f in events(site, "start")}
    received = {}
    for number in range(len(DOMAINS)):
        for row in read_journal(site.addresses[f"engine-{number + 1}"]["address"])["seen"]:
            if row["path"].endswith("/completions"):
                id = row["headers"]["X-REQUEST-ID"].partition("~")[0]
                received[id] = row["headers"]["X-PRIORITY"]
    assert len(received) > GUESTS and set(received.values()) == {"1", "3"}
    assert {id: tier for id, tier in received.items() if logged.get(id) != tier} == {}


def test_no_lower_tier_starts_while_a_higher_one_is_refused(site):
    """Send the top tier to one entry only, so the others know of it by its heartbeats alone.

    An entry with outdated heartbeats, after a suspension or during a partition, must not start
    requests of a lower tier outside of their reserve.
    """
    key = site.issue_key("studio")
    for entry in ENTRIES:
        wait_until(lambda entry=entry: site.ask(entry, key).status == 200)
    loads = [LoadGenerator(site, key, entry, "draft", DRAFTS) for entry in ENTRIES[1:]]
    gevent.sleep(PHASE_S / 2)
    site.entries[2].suspend()
    loads.append(LoadGenerator(site, key, ENTRIES[0], "guest", GUESTS))
    gevent.sleep(PHASE_S)
    refused_while_suspended = len(events(site, "refuse"))
    site.entries[2].resume()
    gevent.sleep(PHASE_S / 2)
    refused_after_resume = len(events(site, "refuse"))
    for link in site.links:
        link.disconnect()
    partitioned_at = time.time()
    gevent.sleep(PHASE_S + START_GRANT_S)
    for load in loads:
        load.stop()
    assert 0 < refused_while_suspended < refused_after_resume
    assert lower_tier_starts_after_refusals(site) == []
    assert_all_starts_logged(site)
    grants_expired_at = partitioned_at + START_GRANT_S + 1.0
    after = [f for at, _, f in events(site, "start") if at > grants_expired_at]
    assert [
        f for f in after if f["tier"] == "1"
    ], "no top-tier request started during the partition"
    assert {f["reserved"] for f in after if f["tier"] != "1"} == {"True"}
