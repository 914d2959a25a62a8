"""Holders of the duties before a platform that does not check fencing tokens."""

import signal

import gevent
import pytest

from hickoryloom.platform.tests.standin import Backend, respond
from tests.harness import wait_until

pytestmark = [pytest.mark.processes, pytest.mark.seconds(60)]

LEASE_S = 3.0


@pytest.fixture
def site(site):
    site.duties.checks_tokens = False
    site.add_backend(Backend("i-1", "app", respond))
    return site


def holders(site):
    return [holder for _, holder, _ in site.duties.calls]


def wait_for_calls_of(site, name):
    count = len(site.duties.calls)
    wait_until(lambda: name in holders(site)[count:], 20.0)


def assert_one_holder_at_a_time(site):
    """Check that tokens never fall, and that no holder acts before and after another in a lease."""
    tokens = [token for _, _, token in site.duties.calls]
    assert tokens == sorted(tokens)
    last_call = {}
    previous = ""
    for at, holder, _ in site.duties.calls:
        if holder != previous and holder in last_call:
            assert at - last_call[holder] >= LEASE_S
        last_call[holder] = at
        previous = holder


@pytest.mark.parametrize("suspended_s", [2.0, 4.5])
def test_a_suspended_holder_makes_no_call_after_its_successor(site, suspended_s):
    first = site.start("edge-1")
    wait_for_calls_of(site, "edge-1")
    second = site.start("edge-2")
    first.signal(signal.SIGSTOP)
    gevent.sleep(suspended_s)
    if suspended_s > LEASE_S:
        wait_for_calls_of(site, "edge-2")
    first.signal(signal.SIGCONT)
    gevent.sleep(4.0)
    assert_one_holder_at_a_time(site)
    assert second.events("lease-taken") or suspended_s < LEASE_S


def test_a_lease_that_goes_back_and_forth_over_planned_stops_waits_for_its_duration(site):
    first = site.start("edge-1")
    wait_for_calls_of(site, "edge-1")
    second = site.start("edge-2")
    site.start("edge-1")
    first.signal(signal.SIGTERM)
    wait_for_calls_of(site, "edge-2")
    second.signal(signal.SIGTERM)
    wait_for_calls_of(site, "edge-1")
    assert_one_holder_at_a_time(site)


def test_a_holder_of_an_earlier_era_of_the_store_makes_no_call_after_its_successor(site):
    first = site.start("edge-1")
    copy = site.store.copy()
    wait_for_calls_of(site, "edge-1")
    first.signal(signal.SIGSTOP)
    site.store.return_from(copy)
    site.start("edge-2")
    wait_for_calls_of(site, "edge-2")
    first.signal(signal.SIGCONT)
    gevent.sleep(4.0)
    assert_one_holder_at_a_time(site)
