"""Compares the CPU time per event of an entry and of a bare relay, both loaded at the same time."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from hickoryloom.bench.relay import read_resource_usage
from hickoryloom.standins import register_backend
from tests.harness import wait_until
from tests.site import DOMAINS, Site
from tests.test_relay_speed import roles as roles  # noqa: PLC0414

pytestmark = pytest.mark.seconds(30)

MAX_RATIO = 1.5
STREAMS = 150
REPEATS = 3
EVENTS = "100"
DOCUMENTS = {
    "pools": {
        "bench": {
            "kind": "engine",
            "model": "bench",
            "slots": 1000,
            "failure_domains": list(DOMAINS),
            "max_servers": 1,
        }
    },
    "classes": {"guest": {"tier": 1, "first_token_ms": 20000, "token_gap_ms": 1000}},
    "customers": {"studio": {"classes": ["guest"]}},
}


@pytest.fixture
def site(tmp_path, roles):
    site = Site(tmp_path, DOCUMENTS)
    source = roles("source", "--events", EVENTS, "--pace-ms", "50")
    row = {"id": "source", "address": source, "failure_domain": DOMAINS[0], "pool": "bench"}
    register_backend(site.platform_address, {**row, "cheap": False, "state": "live"}, spare=False)
    site.publish()
    site.add_entry(log_level="ERROR")
    site.wait_serving("entry-1")
    site.bare_relay = roles("bare", "--source", source)
    yield site
    site.stop()


def cpu_seconds(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_cost(site, key):
    """Return the CPU time per event in microseconds of the bare relay and of the entry."""
    targets = [site.bare_relay, site.listen("entry-1")]
    command = [sys.executable, "-m", "hickoryloom.bench.relay", "callers", *targets]
    command += ["--streams", str(STREAMS), "--key", key]
    bare_s, entry_s = read_resource_usage(site.bare_relay)["cpu_s"], cpu_seconds(
        site.entries[0].pid
    )
    completed = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=True)
    bare_s = read_resource_usage(site.bare_relay)["cpu_s"] - bare_s
    entry_s = cpu_seconds(site.entries[0].pid) - entry_s
    bare_figures, entry_figures = json.loads(completed.stdout)
    assert bare_figures["broken"] == entry_figures["broken"] == 0
    return bare_s / bare_figures["events"] * 1e6, entry_s / entry_figures["events"] * 1e6


@pytest.mark.bench
@pytest.mark.processes
def test_event_cost_of_an_entry_is_close_to_a_bare_relay(site):
    key = site.issue_key("studio")
    wait_until(lambda: site.status("entry-1")["generation"] >= 2)
    measure_cost(site, key)
    figures = [measure_cost(site, key) for _ in range(REPEATS)]
    ratios = sorted(entry / bare for bare, entry in figures)
    print(f"us per event (bare relay, entry): {figures}, ratios {ratios}")
    assert ratios[REPEATS // 2] <= MAX_RATIO
