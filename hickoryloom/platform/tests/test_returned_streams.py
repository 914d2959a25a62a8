"""Real gateway processes that go on with streams which another instance served for them."""

import signal

import gevent
import pytest

from hickoryloom.platform.tests.partition import launch_behind_wires
from hickoryloom.platform.tests.site import route
from hickoryloom.platform.tests.test_mixed_streams import (
    TOKENS,
    Engines,
    versions_in,
    wait_until_known,
)

pytestmark = [pytest.mark.processes, pytest.mark.seconds(75)]

STREAMS = 24
EVENTS = 50
GAP_S = 0.15
KNOWN_S = 6.0
CUT_S = 4.0
HEALED_S = 2.0
MIN_WHOLE = 0.9
BOUNDS = {"budget_slack": 600}
"""Retries for all streams, so that the budget ends none of them."""


def read_stream(gateway, id):
    """Return the versions and the number of events of a stream; 0 if it was broken off."""
    try:
        _, _, body = gateway.call("/draft/x", id=id, Deadline_Ms="12000", **TOKENS)
    except Exception:
        return set(), 0
    return versions_in(body), body.count(b"\n\n")


def disrupt(how, gateway, cut_site):
    if how == "cut-off":
        for wire in cut_site.wires.values():
            wire.reset()
        return
    number = {"killed": signal.SIGKILL, "stopped": signal.SIGTERM, "suspended": signal.SIGSTOP}
    gateway.signal(number[how])


@pytest.mark.parametrize("how", ["killed", "stopped", "suspended", "cut-off"])
@pytest.mark.parametrize("begins", ["elsewhere", "here"])
def test_a_stream_that_comes_back_from_another_instance_keeps_its_version(site, begins, how):
    """Guards against streams that go on at any version since the other instance alone knew it."""
    draft = route(
        "draft", "streaming", "llm", stream_resume=True, timeout_ms=12_000, max_attempts=6
    )
    site.configure(routes=[draft])
    Engines(site, ["v1", "v1", "v2", "v2"], EVENTS, GAP_S, EVENTS)
    first, first_cut = launch_behind_wires(site, "edge-1", **BOUNDS)
    second, second_cut = launch_behind_wires(site, "edge-2", **BOUNDS)
    gateways = [first, second, site.launch("edge-3", **BOUNDS)]
    for gateway in gateways:
        gateway.wait_ready()
    wait_until_known(gateways)
    gevent.sleep(KNOWN_S)

    streams = []
    if begins == "here":
        streams = [gevent.spawn(read_stream, first, f"s{number}") for number in range(STREAMS)]
        gevent.sleep(0.5)
    for wire in first_cut.wires.values():
        wire.reset()
    if begins == "elsewhere":
        gevent.sleep(CUT_S - 1.0)
        streams = [gevent.spawn(read_stream, first, f"s{number}") for number in range(STREAMS)]
    gevent.sleep(1.0)
    for wire in first_cut.wires.values():
        wire.heal()
    gevent.sleep(HEALED_S)
    disrupt(how, second, second_cut)
    results = [stream.get() for stream in streams]
    second.signal(signal.SIGCONT)
    for cut_site in (first_cut, second_cut):
        cut_site.stop()
    assert not [versions for versions, _ in results if len(versions) > 1]
    assert sum(events == EVENTS for _, events in results) >= MIN_WHOLE * STREAMS, results
