"""Tier order and reserves with real entries: a burst, one entry stopped, peers cut apart."""

import re
import time
from datetime import datetime

import gevent
import pytest
from gevent import socket

from tests.backends import journal
from tests.harness import Link, wait_until
from tests.site import DOCUMENTS, DOMAINS, Site

pytestmark = [pytest.mark.processes, pytest.mark.seconds(27)]

ENTRIES = ("entry-1", "entry-2", "entry-3")
PHASE_S = 6.0
GUESTS = 9
DRAFTS = 16
LEAVE_S = 3.0
PRESSURE_HOLD_S = 0.8
LOG_SLACK_S = 0.02
ORDERED = ("overload", "expected-late", "no-backend-server")
DOCUMENTS_OF_TIERS = {
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
    site = Site(tmp_path, DOCUMENTS_OF_TIERS)
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


class Load:
    """Callers of one class that ask an entry again as soon as they have an answer."""

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
    """Return (time, entry, fields) of admission's events in all entries' logs."""
    found = []
    for process in site.entries:
        for line in process.log().splitlines():
            if f"event={kind} " not in line:
                continue
            fields = dict(re.findall(r'(\w+)=("[^"]*"|\S+)', line))
            if fields.get("pool") == "assistant":
                at = datetime.fromisoformat(fields["time"]).timestamp()
                found.append((at, process.name, fields))
    return found


def lower_starts_at_refusals(site):
    refused = [
        at for at, _, f in events(site, "refuse") if f["tier"] == "1" and f["reason"] in ORDERED
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


def assert_engines_saw_only_logged_starts(site):
    """Check by the engines' own journals that the logs leave no start out and no tier wrong."""
    logged = {f["request_id"]: f["tier"] for _, _, f in events(site, "start")}
    seen = {}
    for number in range(len(DOMAINS)):
        for row in journal(site.addresses[f"engine-{number + 1}"]["address"])["seen"]:
            if row["path"].endswith("/completions"):
                id = row["headers"]["X-REQUEST-ID"].partition("~")[0]
                seen[id] = row["headers"]["X-PRIORITY"]
    assert len(seen) > GUESTS and set(seen.values()) == {"1", "3"}
    assert {id: tier for id, tier in seen.items() if logged.get(id) != tier} == {}


def test_no_lower_tier_starts_while_a_higher_one_is_refused(site):
    """The top tier comes to one entry only: the others have just its word, or its silence."""
    key = site.issue_key("studio")
    for entry in ENTRIES:
        wait_until(lambda entry=entry: site.ask(entry, key).status == 200)
    loads = [Load(site, key, entry, "draft", DRAFTS) for entry in ENTRIES[1:]]
    gevent.sleep(PHASE_S / 2)
    site.entries[2].freeze()
    loads.append(Load(site, key, ENTRIES[0], "guest", GUESTS))
    gevent.sleep(PHASE_S)
    frozen = len(events(site, "refuse"))
    site.entries[2].wake()
    gevent.sleep(PHASE_S / 2)
    woken = len(events(site, "refuse"))
    for link in site.links:
        link.cut()
    cut = time.time()
    gevent.sleep(PHASE_S + LEAVE_S)
    for load in loads:
        load.stop()
    assert 0 < frozen < woken
    assert lower_starts_at_refusals(site) == []
    assert_engines_saw_only_logged_starts(site)
    lapsed = cut + LEAVE_S + 1.0
    after = [f for at, _, f in events(site, "start") if at > lapsed]
    assert [f for f in after if f["tier"] == "1"], "the top tier is served across a cut"
    assert {f["reserved"] for f in after if f["tier"] != "1"} == {"True"}
