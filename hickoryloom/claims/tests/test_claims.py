"""Claims with the stand-in platform over HTTP, with lost responses and outages."""

from random import Random

import gevent
import pytest

from hickoryloom.admission import RefusalReason, Request
from hickoryloom.claims import Claim, Claims, StoredResponse
from hickoryloom.claims.codec import claim_key
from hickoryloom.claims.epochs import EPOCH_KEY
from hickoryloom.clock import SystemClock
from hickoryloom.http import Call, JsonClient
from hickoryloom.standins import build_platform
from hickoryloom.store import CallBudget, CallPriority, PlatformClient
from hickoryloom.verdict import Verdict
from tests.harness import wait_until

BOOKING = Call("POST", "/bookings", "", (), b'{"bench": 3}')
STORED = StoredResponse(201, (("content-type", "application/json"),), b'{"booked": 3}')


class OffsetClock(SystemClock):
    """The system clock with an adjustable offset of the wall time."""

    def __init__(self):
        self.offset = 0.0

    def wall(self):
        return super().wall() + self.offset


@pytest.fixture
def platform():
    platform = build_platform()
    platform.start()
    yield platform
    platform.stop()


@pytest.fixture
def build(platform):
    built = []

    def build_claims(name, is_live=None):
        clock = OffsetClock()
        budget = CallBudget(clock.monotonic(), processes=1)
        client = PlatformClient(platform.address, clock, budget, Random(1))
        claims = Claims(client, clock, name, is_live, Random(1))
        claims.start()
        built.append((claims, client))
        return claims

    yield build_claims
    fault(platform, outage="", lose_answers=0)
    for claims, client in built:
        claims.stop()
        client.close()


def fault(platform, **switches):
    response = JsonClient(platform.address).call("POST", "/standin/faults", switches).unwrap()
    assert response.status == 200, response.body


def request(key="k1", customer="studio"):
    return Request(
        id="r",
        customer=customer,
        service="bookings",
        pool="booking",
        request_class="desk",
        tier=1,
        idempotent=False,
        arrived=0.0,
        deadline=10.0,
        idempotency_key=key,
    )


def begin(claims, **options):
    return claims.begin(request(**options), BOOKING)


def state_of(platform, key="k1"):
    found = platform.store.get(claim_key("studio", "bookings", key))
    return found.value["state"] if found else None


def test_repeat_at_any_entry_gets_the_stored_response(platform, build):
    entry1, entry2 = build("e1"), build("e2")
    claim = entry1.mark_sent(begin(entry1).unwrap()).unwrap()
    assert claim.may_send(SystemClock().monotonic())
    refused = begin(entry2).unwrap_err()
    assert (refused.reason, refused.verdict) == (
        RefusalReason.IN_PROGRESS,
        Verdict.MAY_HAVE_RUN,
    )
    assert refused.retry_after_s > 0
    assert begin(entry1).unwrap_err().reason is RefusalReason.IN_PROGRESS
    entry1.complete(claim, STORED)
    assert begin(entry2).unwrap() == begin(entry1).unwrap() == STORED
    assert entry1.active == entry2.active == 0


def test_keys_are_per_customer_and_per_call(platform, build):
    entry1 = build("e1")
    begin(entry1).unwrap()
    assert isinstance(begin(entry1, customer="franchise").unwrap(), Claim)
    entry2 = build("e2")
    other = Call("POST", "/bookings", "", (), b'{"bench": 4}')
    refused = entry2.begin(request(), other).unwrap_err()
    assert (refused.reason, refused.verdict) == (RefusalReason.KEY_REUSED, Verdict.NOT_RUN)


def test_concurrent_entries_get_one_claim(platform, build):
    entries = [build(f"e{n}") for n in range(10)]
    fault(platform, lose_answers=5, lose_prefix="/objects/claims/")
    tasks = [gevent.spawn(begin, entry) for entry in entries]
    gevent.joinall(tasks, timeout=20)
    claimed = [task.value.unwrap() for task in tasks if task.value.is_ok()]
    assert len(claimed) == 1
    assert entries[0].mark_sent(claimed[0]).is_ok()


def test_takeover_and_send_never_both_succeed(platform, build):
    frozen, other = build("e1"), build("e2", is_live=lambda incarnation: False)
    held = begin(frozen).unwrap()
    taken = begin(other).unwrap()
    refused = frozen.mark_sent(held).unwrap_err()
    assert refused.verdict is Verdict.MAY_HAVE_RUN
    assert other.mark_sent(taken).is_ok()
    wait_until(lambda: frozen.active == 0)
    assert state_of(platform) == "sent"


def test_sent_claim_of_a_dead_entry_is_never_run_again(platform, build):
    dead, other = build("e1"), build("e2", is_live=lambda incarnation: False)
    dead.mark_sent(begin(dead).unwrap()).unwrap()
    refused = begin(other).unwrap_err()
    assert refused.reason is RefusalReason.OUTCOME_UNKNOWN
    assert refused.verdict is Verdict.MAY_HAVE_RUN


def test_wall_clock_jump_does_not_expire_a_sent_claim(platform, build):
    entry1, other = build("e1"), build("e2")
    entry1.mark_sent(begin(entry1).unwrap()).unwrap()
    other._clock.offset = 400 * 24 * 3600.0
    assert begin(other).unwrap_err().verdict is Verdict.MAY_HAVE_RUN
    other._sweeper.sweep("")
    assert state_of(platform) == "sent"


def test_abandoned_call_may_run_again(platform, build):
    entry1, entry2 = build("e1"), build("e2")
    claim = entry1.mark_sent(begin(entry1).unwrap()).unwrap()
    entry1.discard(claim)
    assert state_of(platform) is None
    assert entry2.mark_sent(begin(entry2).unwrap()).is_ok()


def test_lost_response_of_each_write_is_resolved(platform, build):
    entry1, entry2 = build("e1"), build("e2")
    fault(platform, lose_answers=1)
    claim = begin(entry1).unwrap()
    fault(platform, lose_answers=1)
    claim = entry1.mark_sent(claim).unwrap()
    fault(platform, lose_answers=1)
    entry1.complete(claim, STORED)
    wait_until(lambda: entry1.active == 0)
    assert begin(entry2).unwrap() == STORED


@pytest.mark.parametrize("outage", ["error", "cut"])
def test_without_the_platform_a_call_is_refused_as_not_run(platform, build, outage):
    entry1 = build("e1")
    begin(entry1, key="warm").unwrap()
    fault(platform, outage=outage)
    refused = begin(entry1).unwrap_err()
    assert (refused.reason, refused.verdict) == (
        RefusalReason.PLATFORM_UNAVAILABLE,
        Verdict.NOT_RUN,
    )
    assert refused.retry_after_s > 0


def test_entry_tracks_sent_keys_during_a_platform_outage(platform, build):
    entry1 = build("e1")
    entry1.complete(entry1.mark_sent(begin(entry1).unwrap()).unwrap(), STORED)
    entry1.discard(entry1.mark_sent(begin(entry1, key="k2").unwrap()).unwrap())
    fault(platform, outage="error")
    assert begin(entry1).unwrap_err().verdict is Verdict.MAY_HAVE_RUN
    assert begin(entry1, key="k2").unwrap_err().verdict is Verdict.NOT_RUN


def test_outage_between_claim_and_send_leaves_no_claim_behind(platform, build):
    entry1 = build("e1")
    claim = begin(entry1).unwrap()
    fault(platform, outage="cut")
    assert entry1.mark_sent(claim).unwrap_err().verdict is Verdict.NOT_RUN
    assert state_of(platform) == "claimed"
    fault(platform, outage="")
    wait_until(lambda: state_of(platform) is None, 15)


def test_outcome_is_written_after_a_platform_outage(platform, build):
    entry1, entry2 = build("e1"), build("e2")
    claim = entry1.mark_sent(begin(entry1).unwrap()).unwrap()
    fault(platform, outage="error")
    entry1.complete(claim, STORED)
    assert entry1.active == 1
    fault(platform, outage="")
    wait_until(lambda: entry1.active == 0, 15)
    assert begin(entry2).unwrap() == STORED


def test_new_claims_do_not_starve_held_claims_of_the_call_budget(platform):
    """Guards against new claims that use up the call budget, so that no held claim completes."""
    clock = SystemClock()
    budget = CallBudget(clock.monotonic(), processes=14)
    client = PlatformClient(platform.address, clock, budget, Random(1))
    claims = Claims(client, clock, "e1", random=Random(1))
    claims.start()
    done, refused = [], []

    def book_repeatedly(caller):
        for number in range(1000):
            claim = begin(claims, key=f"{caller}-{number}")
            marked = claim.and_then(claims.mark_sent)
            if marked.is_ok():
                claims.complete(marked.unwrap(), STORED)
                done.append(number)
            else:
                refused.append(marked.unwrap_err())
            gevent.sleep(0.1)

    tasks = [gevent.spawn(book_repeatedly, caller) for caller in range(40)]
    gevent.sleep(5)
    gevent.killall(tasks)
    writes = platform.calls["create"] + platform.calls["update"] + platform.calls["delete"]
    assert len(refused) > len(done) > 0, "the budget was not used up"
    assert writes <= 4.5 * len(done)
    assert {refusal.verdict for refusal in refused} == {Verdict.NOT_RUN}
    assert all(refusal.retry_after_s > 0 for refusal in refused)
    claims.stop()
    client.close()


def test_call_whose_response_is_too_large_to_store_is_reported_as_run(platform, build):
    entry1, entry2 = build("e1"), build("e2")
    claim = entry1.mark_sent(begin(entry1).unwrap()).unwrap()
    entry1.complete(claim, StoredResponse(200, (), b"x" * 100_000))
    refused = begin(entry2).unwrap_err()
    assert (refused.reason, refused.verdict) == (RefusalReason.ALREADY_RUN, Verdict.RAN)


def test_call_with_an_unreadable_claim_is_not_run(platform, build):
    entry1 = build("e1")
    platform.store.put(claim_key("studio", "bookings", "k1"), {"odd": 1}, 0)
    assert begin(entry1).unwrap_err().verdict is Verdict.MAY_HAVE_RUN


def test_unreadable_epoch_refuses_claims_until_it_is_repaired(platform, build):
    platform.store.put(EPOCH_KEY, {"odd": 1}, 0)
    entry1 = build("e1")
    refused = begin(entry1).unwrap_err()
    assert (refused.reason, refused.verdict) == (
        RefusalReason.PLATFORM_UNAVAILABLE,
        Verdict.NOT_RUN,
    )
    platform.store.put(EPOCH_KEY, {"epoch": 3}, 1)
    assert begin(entry1).is_ok()


def test_only_expired_claims_are_swept(platform, build):
    entry1 = build("e1")
    entry1.complete(entry1.mark_sent(begin(entry1).unwrap()).unwrap(), STORED)
    begin(entry1, key="k2").unwrap()
    first = platform.store.get(EPOCH_KEY)
    platform.store.put(EPOCH_KEY, {"epoch": first.value["epoch"] + 25}, first.version)
    entry1._sweeper.read_epoch(CallPriority.NORMAL)
    assert entry1._sweeper.view.epoch == first.value["epoch"] + 25
    assert entry1._sweeper.sweep("") == 0
    second = platform.store.get(EPOCH_KEY)
    platform.store.put(EPOCH_KEY, {"epoch": second.value["epoch"] + 1}, second.version)
    entry1._sweeper.read_epoch(CallPriority.NORMAL)
    assert entry1._sweeper.sweep("") == 2
    assert state_of(platform) is None
