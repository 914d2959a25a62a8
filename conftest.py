"""Makes the sockets and sleeps of all tests cooperative, and sets the test profile."""

from gevent import monkey

monkey.patch_all()

import os
from collections import Counter
from pathlib import Path

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


PROCESS_TEST_S = 3.0
"""Seconds of a test with real processes in a file that does not say how long it takes."""

OTHER_TEST_S = 0.1
"""The same for other tests."""

KNOWN_RED_FILE = Path(__file__).parent / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test id."""
    lines = KNOWN_RED_FILE.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in entries}


def pytest_collection_modifyitems(config, items):
    """Pass over just the tests that KNOWN-RED.txt names."""
    known = read_known_red()
    red = [item for item in items if item.nodeid in known]
    if red and not config.getoption("--run-known-red"):
        items[:] = [item for item in items if item.nodeid not in known]
        config.hook.pytest_deselected(items=red)
    part = config.getoption("--part")
    if part:
        chosen = files_of_part(items, part)
        items[:] = [item for item in items if file_of(item) in chosen]


def pytest_addoption(parser):
    """Add the options that run known red tests too, and one part of all test files."""
    parser.addoption("--run-known-red", action="store_true", help="run tests of KNOWN-RED.txt too")
    parser.addoption("--part", metavar="K/N", help="run only part K of N, counted from 1")


def file_of(item):
    """Return the file of a test."""
    return item.nodeid.partition("::")[0]


def files_of_part(items, part):
    """Return the files of a part such as `2/8`; all files go into parts of about equal weight."""
    number, parts = (int(text) for text in part.split("/"))
    weights = Counter()
    for item in items:
        told = item.get_closest_marker("seconds")
        if told is not None:
            weights[file_of(item)] = told.args[0]
            continue
        slow = item.get_closest_marker("processes") or item.get_closest_marker("bench")
        weights[file_of(item)] += PROCESS_TEST_S if slow else OTHER_TEST_S
    loads = [0] * parts
    chosen = set()
    for file, weight in sorted(weights.items(), key=lambda entry: (-entry[1], entry[0])):
        lightest = loads.index(min(loads))
        loads[lightest] += weight
        if lightest == number - 1:
            chosen.add(file)
    return chosen


def pytest_terminal_summary(terminalreporter):
    """Print each known red test."""
    for line in read_known_red().values():
        terminalreporter.write_line(f"KNOWN RED, passed over: {line}")
