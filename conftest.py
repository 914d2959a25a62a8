"""Makes the sockets and sleeps of all tests cooperative, and sets the test profile."""

from gevent import monkey

monkey.patch_all()

import hashlib
import os
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
        items[:] = [item for item in items if is_in_part(item.nodeid.partition("::")[0], part)]


def pytest_addoption(parser):
    """Add the options that run known red tests too, and one part of all test files."""
    parser.addoption("--run-known-red", action="store_true", help="run tests of KNOWN-RED.txt too")
    parser.addoption("--part", metavar="K/N", help="run only part K of N, counted from 1")


def is_in_part(path, part):
    """Return whether a test file belongs to a part such as `2/8`."""
    number, parts = (int(text) for text in part.split("/"))
    digest = hashlib.sha256(path.encode()).digest()
    return int.from_bytes(digest[:4], "big") % parts == number - 1


def pytest_terminal_summary(terminalreporter):
    """Print each known red test."""
    for line in read_known_red().values():
        terminalreporter.write_line(f"KNOWN RED, passed over: {line}")
