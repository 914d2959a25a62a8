"""A leaving backend server gets no new requests after three seconds, whoever reports it."""

import random

import gevent
import pytest

from hickoryloom.clock import SystemClock
from hickoryloom.configuration import Pool, PoolKind, Snapshot, StaticBackend
from hickoryloom.membership import Heartbeat, Peer
from hickoryloom.relay import Relay
from hickoryloom.routing import BackendDirectory, Router
from hickoryloom.store import PlatformClient
from tests.backends import POOL, Backends, call_json, read_journal, relay_stream, set_faults
from tests.harness import wait_until

pytestmark = [pytest.mark.processes, pytest.mark.seconds(36)]

LEAVING_BOUND_S = 3.0
OBSERVATION_S = 2.0
TOKENS = 3


class Site:
    """A platform with registered engines, and an entry's backend directory, router and relay."""

    def __init__(self, backends):
        self.platform = backends.start("platform")
        arguments = ["--token-ms", "2", "--pool", POOL, "--platform", self.platform.address]
        self.engines = backends.start_many(3, "engine", *arguments)
        self.clock = SystemClock()
        self.router = Router(self.clock, random.Random(1), "local")
        self.directory = BackendDirectory(
            PlatformClient(self.platform.address, self.clock),
            self.clock,
            random.Random(1),
            self.router.apply_load_report,
        )
        self.directory.subscribe(self.router.set_views)
        self.relay = Relay(self.router, self.clock)
        self._number = 0
        self._traffic = None

    def set_static(self, *engines):
        servers = tuple(StaticBackend(f"s{i}", e.address, "local") for i, e in enumerate(engines))
        pool = Pool(POOL, PoolKind.ENGINE, "assistant", servers=servers)
        self.directory.set_snapshot(Snapshot(1, pools={POOL: pool}))

    def start(self):
        self.directory.start()
        wait_until(lambda: len(self.directory.views) >= 3, 10.0, "the directory lists the engines")
        self._traffic = gevent.spawn(self._run)

    def close(self):
        if self._traffic is not None:
            self._traffic.kill()
        self.directory.stop()
        self.relay.stop()

    def id_of(self, engine):
        return next(view.id for view in self.directory.views if view.address == engine.address)

    def started_count(self, engine):
        return read_journal(engine.address)["counters"].get("started", 0)

    def _run(self):
        while True:
            self._number += 1
            relay_stream(self.relay, f"r{self._number}", TOKENS)


@pytest.fixture
def site(tmp_path):
    backends = Backends(tmp_path)
    site = Site(backends)
    yield site
    site.close()
    backends.close()


def check_no_new_requests(site, engine):
    """Wait for the time limit, then check that only the other engines get new requests."""
    gevent.sleep(LEAVING_BOUND_S)
    others = [other for other in site.engines if other is not engine]
    before = site.started_count(engine), sum(site.started_count(other) for other in others)
    gevent.sleep(OBSERVATION_S)
    assert site.started_count(engine) == before[0]
    assert sum(site.started_count(other) for other in others) > before[1]


def wait_for_requests(site, engine):
    wait_until(
        lambda: site.started_count(engine) > 0, 10.0, "the engine gets requests before it leaves"
    )


def test_own_load_report_is_used_while_the_live_list_lags(site):
    site.start()
    wait_for_requests(site, site.engines[0])
    call_json(site.platform.address, "POST", "/standin/faults", {"live_lag_s": 3600.0})
    set_faults(site.engines[0].address, leaving=True, load_lag_s=0.0)
    check_no_new_requests(site, site.engines[0])


def test_own_load_report_is_used_while_the_platform_is_suspended(site):
    site.start()
    wait_for_requests(site, site.engines[0])
    site.platform.suspend()
    set_faults(site.engines[0].address, leaving=True, load_lag_s=0.0)
    check_no_new_requests(site, site.engines[0])


def test_live_list_is_used_while_the_engine_does_not_report_leaving(site):
    site.start()
    wait_for_requests(site, site.engines[0])
    row = {
        "id": site.id_of(site.engines[0]),
        "address": site.engines[0].address,
        "failure_domain": "local",
        "pool": POOL,
        "cheap": False,
        "state": "leaving",
    }
    call_json(site.platform.address, "POST", "/standin/backends", row)
    check_no_new_requests(site, site.engines[0])


def test_peer_heartbeat_is_used_while_list_and_engine_do_not_report_leaving(site):
    site.start()
    wait_for_requests(site, site.engines[0])
    heartbeat = Heartbeat("i1", "x:1", "local", 1, 1, 0.0, leaving=(site.id_of(site.engines[0]),))
    site.directory.apply_peers([Peer(heartbeat, site.clock.monotonic())])
    check_no_new_requests(site, site.engines[0])


def test_lagging_live_list_does_not_restore_a_leaving_engine(site):
    site.start()
    wait_for_requests(site, site.engines[0])
    set_faults(site.engines[0].address, leaving=True, load_lag_s=0.0)
    wait_until(
        lambda: site.directory.leaving, LEAVING_BOUND_S, "the directory marks the engine as leaving"
    )
    set_faults(site.engines[0].address, leaving=False, load_lag_s=0.0)
    check_no_new_requests(site, site.engines[0])


def test_static_server_leaves_by_its_own_load_report(site):
    site.set_static(*site.engines)
    site.start()
    engine = site.engines[0]
    wait_for_requests(site, engine)
    set_faults(engine.address, leaving=True, load_lag_s=0.0)
    check_no_new_requests(site, engine)
