"""Real processes through an outage of the platform and a flapping one."""

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
INTERFACES = 3


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


def now_of(seconds):
    return max(seconds)


def probes_at_most(seconds):
    """Calls of all processes in one outage: those that open each breaker, then the probes."""
    growing = 6
    return PROCESSES * INTERFACES * (FAILURES_TO_OPEN + growing + seconds / (MAX_DELAY_S / 2))


class Traffic:
    """Asks all entries again and again, and keeps the answers."""

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
def test_traffic_goes_on_and_calls_are_bounded(site, key, outage):
    before = calls_by_second(site)
    steady = max(calls_between(before, now_of(before) - 5, now_of(before) - 1))
    traffic = Traffic(site, key)
    site.set_faults("platform", outage=outage)
    gevent.sleep(OUTAGE_S)
    during = calls_by_second(site)
    begin = now_of(before) + 1
    site.set_faults("platform", outage="")
    gevent.sleep(SETTLE_S + MAX_DELAY_S)
    traffic.stop()
    after = calls_by_second(site)
    assert len(traffic.replies) >= 2 * OUTAGE_S
    assert all(reply.status == 200 and reply.whole for reply in traffic.replies)
    probes = sum(calls_between(during, begin, now_of(during)))
    print(f"outage {outage}: {probes} calls, at most {probes_at_most(OUTAGE_S):.0f}")
    assert probes <= probes_at_most(OUTAGE_S)
    assert max(calls_between(after, begin + OUTAGE_S, now_of(after))) <= 3 * steady + PROCESSES * 8
    assert sum(calls_between(after, now_of(after) - 2, now_of(after))) > 0, "calls did not resume"


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
    assert all(reply.status == 200 and reply.whole for reply in traffic.replies)
    seconds = calls_between(after, now_of(before) + 1, now_of(after))
    assert max(seconds) <= probes_at_most(HALF_FLAP_S)
    generation = site.publish()
    for name in ENTRIES:
        wait_until(lambda name=name: site.status(name)["generation"] >= generation, 10)


def test_leases_and_watches_come_back_soon_after_the_outage(site, key):
    site.set_faults("platform", outage="cut")
    gevent.sleep(4)
    site.set_faults("platform", outage="")
    withdrawn = site.issue_key("studio")
    wait_until(lambda: site.ask("entry-1", withdrawn).status == 200, 2 * MAX_DELAY_S)
    site.withdraw_key(withdrawn)
    wait_until(lambda: site.ask("entry-1", withdrawn).status == 401, 5 + FIRST_DELAY_S)
