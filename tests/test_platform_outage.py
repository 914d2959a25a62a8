"""Entries and control processes during an outage of the platform and while it flaps."""

import gevent
import pytest

from hickoryloom.http import JsonClient
from hickoryloom.store.breaker import FAILURES_TO_OPEN, FIRST_DELAY_S, MAX_DELAY_S
from tests.harness import wait_until
from tests.site import start_site

pytestmark = [pytest.mark.processes, pytest.mark.seconds(48)]

ENTRIES = ("entry-1", "entry-2")
PROCESSES = 4
OUTAGE_S = 6
FLAPS = 3
HALF_FLAP_S = 1.5
SETTLE_S = 3
BREAKERS_PER_PROCESS = 3


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = start_site(tmp_path_factory.mktemp("outage"))
    try:
        site.add_control()
        site.add_control()
        yield site
    finally:
        site.stop()


@pytest.fixture(scope="module")
def key(site):
    key = site.issue_key("studio")
    for name in ENTRIES:
        wait_until(lambda name=name: site.ask(name, key).status == 200)
    return key


def calls_by_second(site):
    client = JsonClient(site.platform_address)
    journal = client.call("GET", "/standin/journal").unwrap().body
    client.close()
    return dict(journal["calls_by_second"])


def calls_between(seconds, first, last):
    return [seconds.get(second, 0) for second in range(first, last + 1)]


def last_second(seconds):
    return max(seconds)


def max_calls_in_outage(seconds):
    """Return the most calls of all processes in an outage of the given seconds.

    They are the failures that open each circuit breaker, the probes while its delay grows, and
    then probes at half the maximum delay or more.
    """
    probes_while_delay_grows = 6
    return (
        PROCESSES
        * BREAKERS_PER_PROCESS
        * (FAILURES_TO_OPEN + probes_while_delay_grows + seconds / (MAX_DELAY_S / 2))
    )


class Traffic:
    """Sends requests to all entries continuously and stores the responses."""

    def __init__(self, site, key):
        self.replies = []
        self._tasks = [gevent.spawn(self._run, site, name, key) for name in ENTRIES]

    def stop(self):
        gevent.killall(self._tasks)

    def _run(self, site, name, key):
        while True:
            self.replies.append(site.ask(name, key, max_tokens=4))
            gevent.sleep(0.1)


@pytest.mark.parametrize("outage", ["cut", "hang"])
def test_traffic_continues_and_platform_calls_are_bounded(site, key, outage):
    before = calls_by_second(site)
    steady = max(calls_between(before, last_second(before) - 5, last_second(before) - 1))
    traffic = Traffic(site, key)
    site.set_faults("platform", outage=outage)
    gevent.sleep(OUTAGE_S)
    during = calls_by_second(site)
    first = last_second(before) + 1
    site.set_faults("platform", outage="")
    gevent.sleep(SETTLE_S + MAX_DELAY_S)
    traffic.stop()
    after = calls_by_second(site)
    assert len(traffic.replies) >= 2 * OUTAGE_S
    assert all(reply.status == 200 and reply.complete for reply in traffic.replies)
    probes = sum(calls_between(during, first, last_second(during)))
    print(f"outage {outage}: {probes} calls, limit {max_calls_in_outage(OUTAGE_S):.0f}")
    assert probes <= max_calls_in_outage(OUTAGE_S)
    assert (
        max(calls_between(after, first + OUTAGE_S, last_second(after)))
        <= 3 * steady + PROCESSES * 8
    )
    assert (
        sum(calls_between(after, last_second(after) - 2, last_second(after))) > 0
    ), "platform calls did not resume"


def test_flapping_platform(site, key):
    before = calls_by_second(site)
    traffic = Traffic(site, key)
    for _ in range(FLAPS):
        site.set_faults("platform", outage="cut")
        gevent.sleep(HALF_FLAP_S)
        site.set_faults("platform", outage="")
        gevent.sleep(HALF_FLAP_S)
    traffic.stop()
    after = calls_by_second(site)
    assert all(reply.status == 200 and reply.complete for reply in traffic.replies)
    seconds = calls_between(after, last_second(before) + 1, last_second(after))
    assert max(seconds) <= max_calls_in_outage(HALF_FLAP_S)
    generation = site.publish()
    for name in ENTRIES:
        wait_until(lambda name=name: site.status(name)["generation"] >= generation, 10)


def test_leases_and_watches_recover_after_an_outage(site, key):
    site.set_faults("platform", outage="cut")
    gevent.sleep(4)
    site.set_faults("platform", outage="")
    withdrawn = site.issue_key("studio")
    wait_until(lambda: site.ask("entry-1", withdrawn).status == 200, 2 * MAX_DELAY_S)
    site.withdraw_key(withdrawn)
    wait_until(lambda: site.ask("entry-1", withdrawn).status == 401, 5 + FIRST_DELAY_S)
