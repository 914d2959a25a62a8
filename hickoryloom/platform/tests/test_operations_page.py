"""The operations page leads from the id of a failed request to its cause, on logs of real runs."""

import re
from pathlib import Path

import gevent
import pytest

from hickoryloom.platform.tests.site import KEY
from hickoryloom.platform.tests.standin import (
    Backend,
    build_event,
    build_response,
    build_stream_head,
)

pytestmark = pytest.mark.processes

PAGE = Path(__file__).resolve().parents[3] / "docs" / "OPERATIONS.md"


def grep(gateway, id, name=""):
    """Return the fields of the log lines that the commands of the page match."""
    lines = [line for line in gateway.log().splitlines() if f"request={id} " in line]
    matches = [line for line in lines if not name or f"event={name} " in line]
    return [dict(re.findall(r'(\w+)=("[^"]*"|\S+)', line)) for line in matches]


def causes_on_page():
    return set(re.findall(r"^\| `([a-z-]+)` \|", PAGE.read_text(), re.MULTILINE))


def test_cause_of_a_refusal(site):
    script = [
        build_response({"headers": {"attempt-id": "refused"}}, b"", 503, False, Not_Executed="1")
    ]
    site.add_backend(Backend("i-1", "app", lambda request: script))
    gateway = site.start()
    assert gateway.call("/once/x", id="refused")[0] == 503
    (line,) = grep(gateway, "refused", "request")
    assert (line["outcome"], line["status"], line["verdict"]) == ("refused", "503", "not-run")
    assert line["detail"] == "not-run"
    assert line["detail"] in causes_on_page()
    attempts = grep(gateway, "refused", "attempt")
    assert [line["outcome"] for line in attempts] == ["sent", "not-run"]
    assert {line["backend_server"] for line in attempts} == {"i-1"}


def test_cause_of_a_failure_in_mid_stream(site):
    def truncate(request):
        yield build_stream_head(request)
        yield build_event(1)
        yield 0.05
        yield Backend.CLOSE

    site.add_backend(Backend("i-1", "llm", truncate))
    gateway = site.start()
    with pytest.raises(Exception):  # noqa: B017, PT011
        gateway.call("/answer/x", id="cut", Token_Count="100,50")
    gevent.sleep(0.2)
    (line,) = grep(gateway, "cut", "request")
    assert (line["outcome"], line["verdict"]) == ("broken-off", "may-have-run")
    assert line["framing"] == "chunked"
    failed = [line for line in grep(gateway, "cut", "attempt") if line["outcome"] != "sent"]
    assert [(line["outcome"], line["backend_server"]) for line in failed] == [("cut", "i-1")]


def test_cause_of_a_401_after_a_key_withdrawal(site):
    site.add_backend(Backend("i-1", "app", lambda request: [build_response(request)]))
    gateway = site.start()
    site.configure(version=9, keys=("another",))
    gevent.sleep(1.3)
    assert gateway.call("/once/x", id="denied", key=KEY)[0] == 401
    (line,) = grep(gateway, "denied", "request")
    assert (line["detail"], line["version"]) == ("unknown-key", "9")
    in_force = [line for line in gateway.events("catalog-in-force") if "version=9 " in line]
    assert len(in_force) == 1
    assert in_force[0].split()[0] <= f"time={line['time']}"


def test_each_event_of_the_page_occurs_in_the_code():
    events = set(re.findall(r"`([a-z]+(?:-[a-z]+)+|attempt|request)`", PAGE.read_text()))
    package = PAGE.parents[1] / "hickoryloom"
    code = "\n".join(
        path.read_text() for path in package.rglob("*.py") if "tests" not in path.parts
    )
    table = PAGE.read_text().partition("## From a request's id")[0]
    named = {name for name in events if f"`{name}`" in table}
    assert named
    assert {name for name in named if f'"{name}"' not in code} == set()
