"""Compares the CPU time per event of the relay and a bare relay, both loaded at the same time."""

import json
import subprocess
import sys

import attrs
import pytest

from hickoryloom.bench.relay import read_resource_usage

pytestmark = pytest.mark.seconds(19)

MAX_RATIO = 1.5
STREAMS = 150
REPEATS = 3


@attrs.define
class Role:
    process: subprocess.Popen
    address: str


def start(role, *arguments):
    command = [sys.executable, "-m", "hickoryloom.bench.relay", role, *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    return Role(process, json.loads(process.stdout.readline())["address"])


@pytest.fixture
def roles():
    started = []

    def start_role(role, *arguments):
        started.append(start(role, *arguments))
        return started[-1].address

    yield start_role
    for role in started:
        role.process.kill()
        role.process.wait()


def run_callers(targets, streams):
    command = [sys.executable, "-m", "hickoryloom.bench.relay", "callers", *targets]
    completed = subprocess.run(
        [*command, "--streams", str(streams)], stdout=subprocess.PIPE, text=True, check=True
    )
    return json.loads(completed.stdout)


def measure(targets, streams):
    before = [read_resource_usage(target)["cpu_s"] for target in targets]
    figures = run_callers(targets, streams)
    after = [read_resource_usage(target) for target in targets]
    for target_figures, cost_before, cost_after in zip(figures, before, after, strict=True):
        target_figures["cpu_us_per_event"] = (
            (cost_after["cpu_s"] - cost_before) / target_figures["events"] * 1e6
        )
        target_figures["max_rss_kb"] = cost_after["max_rss_kb"]
    return figures


@pytest.mark.bench
@pytest.mark.processes
def test_event_cost_is_close_to_a_bare_relay(roles):
    source = roles("source", "--events", "60", "--pace-ms", "50")
    bare, relay = (roles(role, "--source", source) for role in ("bare", "relay"))
    measure([bare, relay], STREAMS)
    ratios = []
    for _ in range(REPEATS):
        bare_figures, relay_figures = measure([bare, relay], STREAMS)
        assert bare_figures["broken"] == relay_figures["broken"] == 0
        ratios.append(relay_figures["cpu_us_per_event"] / bare_figures["cpu_us_per_event"])
        print(f"bare {bare_figures}\nrelay {relay_figures}")
    print(f"ratios {[round(ratio, 2) for ratio in ratios]}")
    assert sorted(ratios)[REPEATS // 2] <= MAX_RATIO
