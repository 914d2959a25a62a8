"""A call with the verdict "not run" has not run, according to the run counters of the services."""

import gevent
import pytest

from hickoryloom.verdict import Verdict
from tests.backends import (
    Backends,
    admitted_request,
    assert_no_resources_held,
    build_relay,
    read_run_counts,
    service_call,
    set_faults,
)
from tests.harness import Link, wait_until

pytestmark = pytest.mark.processes

POOL = "booking"


@pytest.fixture
def backends(tmp_path):
    backends = Backends(tmp_path)
    yield backends
    backends.close()


@pytest.fixture
def services(backends):
    return backends.start_many(2, "service")


def call_once(relay, id="r0", method="POST", idempotent=False):
    """Make one call and return its verdict and whether the response was complete."""
    opened = relay.open(
        admitted_request(id, idempotent, stream=False, pool=POOL), service_call(method)
    )
    if opened.is_err():
        return opened.unwrap_err().verdict, False
    answer = opened.unwrap()
    list(answer)
    return answer.outcome.verdict, answer.outcome.complete


def total_runs(*services):
    return sum(read_run_counts(service.address)["total"] for service in services)


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
@pytest.mark.parametrize("switch, ran", [("lose_next", 1), ("cut_next", 0), ("error_next", 1)])
def test_call_lost_in_transit_may_have_run(services, method, switch, ran):
    for service in services:
        set_faults(service.address, **{switch: 1})
    relay = build_relay(*[service.address for service in services], pool=POOL)
    verdict, _ = call_once(relay, method=method)
    assert verdict is Verdict.MAY_HAVE_RUN
    assert total_runs(*services) == ran
    assert_no_resources_held(relay)


def test_service_that_crashes_after_the_run(services):
    for service in services:
        set_faults(service.address, crash_next=1)
    relay = build_relay(*[service.address for service in services], pool=POOL)
    assert call_once(relay) == (Verdict.MAY_HAVE_RUN, False)
    wait_until(lambda: any(service.exit_code is not None for service in services), what="dead")
    alive = [service for service in services if service.exit_code is None]
    assert len(alive) == 1
    assert total_runs(*alive) == 0
    assert_no_resources_held(relay)


def test_unreachable_services_did_not_run_the_call(services):
    for service in services:
        service.kill()
    relay = build_relay(*[service.address for service in services], pool=POOL)
    assert call_once(relay) == (Verdict.NOT_RUN, False)
    assert_no_resources_held(relay)


def test_not_run_responses_are_correct_and_retried(services):
    for service in services:
        set_faults(service.address, not_run_next=1)
    relay = build_relay(*[service.address for service in services], pool=POOL)
    assert call_once(relay) == (Verdict.RAN, True)
    for service in services:
        set_faults(service.address, not_run_next=50)
    assert call_once(relay, "r1") == (Verdict.NOT_RUN, False)
    by_key = [read_run_counts(service.address)["by_key"] for service in services]
    assert sum(keys.get("key-r0", 0) for keys in by_key) == 1
    assert sum(keys.get("key-r1", 0) for keys in by_key) == 0
    assert_no_resources_held(relay)


def test_suspended_service_may_have_run_the_call_and_runs_it_on_resuming(services):
    relay = build_relay(services[0].address, pool=POOL, service_timeout_s=1.0)
    services[0].suspend()
    assert call_once(relay) == (Verdict.MAY_HAVE_RUN, False)
    services[0].resume()
    wait_until(lambda: total_runs(services[0]) == 1, 5.0)
    assert_no_resources_held(relay)


def test_call_on_a_silent_link_may_have_run(services):
    set_faults(services[0].address, after_s=0.5)
    link = Link(services[0].address)
    relay = build_relay(link.address, pool=POOL, service_timeout_s=1.5)
    task = gevent.spawn(call_once, relay)
    gevent.sleep(0.25)
    link.stall_open_connections()
    assert task.get(timeout=10.0) == (Verdict.MAY_HAVE_RUN, False)
    assert total_runs(services[0]) == 1
    assert_no_resources_held(relay)
    link.close()


def test_link_failures_during_bookings_cause_no_false_not_run(services):
    links = [Link(service.address) for service in services]
    relay = build_relay(*[link.address for link in links], pool=POOL)
    tasks = {}
    for number in range(60):
        id = f"r{number}"
        tasks[id] = gevent.spawn(call_once, relay, id)
        gevent.sleep(0.005)
        if number % 10 == 5:
            links[number // 10 % 2].disconnect()
        if number % 10 == 9:
            for link in links:
                link.restore()
    verdicts = {id: task.get(timeout=20.0)[0] for id, task in tasks.items()}
    by_key = [read_run_counts(service.address)["by_key"] for service in services]
    for id, verdict in verdicts.items():
        ran = sum(keys.get(f"key-{id}", 0) for keys in by_key)
        assert ran <= 1
        assert ran == 0 or verdict is not Verdict.NOT_RUN
        assert ran == 1 or verdict is not Verdict.RAN
    assert set(verdicts.values()) >= {Verdict.RAN}
    assert_no_resources_held(relay)
    for link in links:
        link.close()


def test_idempotent_lookup_is_retried(services):
    set_faults(services[0].address, lose_next=1)
    set_faults(services[1].address, lose_next=1)
    relay = build_relay(*[service.address for service in services], pool=POOL)
    assert call_once(relay, method="GET", idempotent=True) == (Verdict.RAN, True)
    assert_no_resources_held(relay)


def test_preempted_booking_is_not_retried(services):
    set_faults(services[0].address, after_s=1.0)
    set_faults(services[1].address, after_s=1.0)
    relay = build_relay(*[service.address for service in services], pool=POOL)
    task = gevent.spawn(call_once, relay)
    wait_until(lambda: total_runs(*services) == 1, 5.0)
    relay.preempt("r0", lambda delivered: None)
    assert task.get(timeout=10.0) == (Verdict.MAY_HAVE_RUN, False)
    gevent.sleep(0.2)
    assert total_runs(*services) == 1
    assert_no_resources_held(relay)
