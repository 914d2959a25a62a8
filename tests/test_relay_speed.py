"""The relay's cost beside a bare relay's, both driven at the same time."""

import json
import subprocess
import sys

import attrs
import pytest

from hickoryloom.bench.relay import read_cost

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

    def begin(role, *arguments):
        started.append(start(role, *arguments))
        return started[-1].address

    yield begin
    for role in started:
        role.process.kill()
        role.process.wait()


def call(targets, streams):
    command = [sys.executable, "-m", "hickoryloom.bench.relay", "callers", *targets]
    done = subprocess.run(
        [*command, "--streams", str(streams)], stdout=subprocess.PIPE, text=True, check=True
    )
    return json.loads(done.stdout)


def measure(targets, streams):
    before = [read_cost(target)["cpu_s"] for target in targets]
    figures = call(targets, streams)
    after = [read_cost(target) for target in targets]
    for one, begun, ended in zip(figures, before, after, strict=True):
        one["cpu_us_per_event"] = (ended["cpu_s"] - begun) / one["events"] * 1e6
        one["max_rss_kb"] = ended["max_rss_kb"]
    return figures


@pytest.mark.bench
@pytest.mark.processes
def test_an_event_costs_little_more_than_in_a_bare_relay(roles):
    source = roles("source", "--events", "60", "--pace-ms", "50")
    bare, relay = (roles(role, "--source", source) for role in ("bare", "relay"))
    measure([bare, relay], STREAMS)
    ratios = []
    for _ in range(REPEATS):
        of_bare, of_relay = measure([bare, relay], STREAMS)
        assert of_bare["broken"] == of_relay["broken"] == 0
        ratios.append(of_relay["cpu_us_per_event"] / of_bare["cpu_us_per_event"])
        print(f"bare {of_bare}\nrelay {of_relay}")
    print(f"ratios {[round(ratio, 2) for ratio in ratios]}")
    assert sorted(ratios)[REPEATS // 2] <= MAX_RATIO
