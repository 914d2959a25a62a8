"""Pytest configuration: patches blocking calls for gevent, selects tests, sets the test profile."""

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


DEFAULT_PROCESS_TEST_S = 3.0
"""Assumed seconds of a test with real processes if its file has no `seconds` marker."""

DEFAULT_TEST_S = 0.1
"""Assumed seconds of any other test if its file has no `seconds` marker."""

KNOWN_RED_FILE = Path(__file__).parent / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id."""
    lines = KNOWN_RED_FILE.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in entries}


def pytest_collection_modifyitems(config, items):
    """Deselect the tests listed in KNOWN-RED.txt and, with `--part`, those of other parts."""
    known_red = read_known_red()
    deselected = [item for item in items if item.nodeid in known_red]
    if deselected and not config.getoption("--run-known-red"):
        items[:] = [item for item in items if item.nodeid not in known_red]
        config.hook.pytest_deselected(items=deselected)
    part = config.getoption("--part")
    if part:
        selected = files_of_part(items, part)
        items[:] = [item for item in items if file_of(item) in selected]


def pytest_addoption(parser):
    """Add the options `--run-known-red` and `--part`."""
    parser.addoption(
        "--run-known-red", action="store_true", help="also run the tests listed in KNOWN-RED.txt"
    )
    parser.addoption(
        "--part", metavar="K/N", help="run only part K of N of the test files, counted from 1"
    )


def file_of(item):
    """Return the path of the file that contains a test."""
    return item.nodeid.partition("::")[0]


def files_of_part(items, part):
    """Return the files of a part such as `2/8`.

    Files are assigned longest first, each to the part with the shortest total duration, so that
    all parts take about the same time.
    """
    number, parts = (int(text) for text in part.split("/"))
    durations = Counter()
    for item in items:
        marker = item.get_closest_marker("seconds")
        if marker is not None:
            durations[file_of(item)] = marker.args[0]
            continue
        is_slow = item.get_closest_marker("processes") or item.get_closest_marker("bench")
        durations[file_of(item)] += DEFAULT_PROCESS_TEST_S if is_slow else DEFAULT_TEST_S
    totals = [0] * parts
    selected = set()
    for file, duration in sorted(durations.items(), key=lambda pair: (-pair[1], pair[0])):
        shortest = totals.index(min(totals))
        totals[shortest] += duration
        if shortest == number - 1:
            selected.add(file)
    return selected


def pytest_terminal_summary(terminalreporter):
    """Print the entries of KNOWN-RED.txt."""
    run = terminalreporter.config.getoption("--run-known-red")
    for line in read_known_red().values():
        terminalreporter.write_line(f"KNOWN RED, {'run' if run else 'passed over'}: {line}")
