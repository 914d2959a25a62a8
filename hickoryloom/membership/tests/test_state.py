"""Live, missing and ended entry processes, by local receive times."""

import attrs

from hickoryloom.membership.messages import Heartbeat, Presence
from hickoryloom.membership.state import (
    FAILURE_TIMEOUT_S,
    OUTAGE_TIMEOUT_S,
    PRESENCE_TIMEOUT_S,
    MembershipState,
)
from hickoryloom.store.messages import Listing, Versioned


def heartbeat(name, sequence=1, seen=None, stopping=False):
    return Heartbeat(
        name, f"{name}:1", "d", 1, 0, 0.0, sequence=sequence, seen=seen or {}, stopping=stopping
    )


def listing(**versions):
    return Listing(
        1,
        tuple(
            Versioned(f"presence/{n}", v, attrs.asdict(Presence(n, f"{n}:1", "d")))
            for n, v in versions.items()
        ),
    )


def test_an_old_heartbeat_changes_nothing():
    state = MembershipState("me")
    assert state.apply_heartbeat(heartbeat("a", 5), 10.0)
    assert not state.apply_heartbeat(heartbeat("a", 5), 11.0)
    assert not state.apply_heartbeat(heartbeat("a", 4), 12.0)
    assert state.live(10.0 + FAILURE_TIMEOUT_S)[0].received_at == 10.0
    assert state.live(10.1 + FAILURE_TIMEOUT_S) == ()


def test_echoed_is_the_build_time_of_the_acknowledged_heartbeat():
    state = MembershipState("me")
    first = state.assign_sequence(heartbeat("me"), 1.0)
    state.assign_sequence(heartbeat("me"), 2.0)
    state.apply_heartbeat(heartbeat("a", 1, {"me": first.sequence}), 9.0)
    assert state.live(9.0)[0].acknowledged_at == 1.0
    state.apply_heartbeat(heartbeat("a", 2), 10.0)
    assert state.live(10.0)[0].acknowledged_at == 1.0


def test_a_silent_entry_that_renews_its_presence_stays_missing():
    state = MembershipState("me")
    state.apply_heartbeat(heartbeat("a"), 0.0)
    for step in range(1, 40):
        now = 10.0 * step
        state.apply_listing(listing(a=step), now)
        state.remove_ended(now)
        assert state.missing(now) == ("a",)


def test_a_silent_entry_has_ended_once_its_presence_is_no_longer_renewed():
    state = MembershipState("me")
    state.apply_heartbeat(heartbeat("a"), 0.0)
    state.apply_listing(listing(a=1), 1.0)
    now = PRESENCE_TIMEOUT_S
    state.apply_listing(listing(a=1), now)
    assert state.missing(now) == ("a",)
    now = PRESENCE_TIMEOUT_S + 2.0
    assert state.missing(now) == ()
    state.remove_ended(now)
    assert state.addresses == {}
    assert state.stale_presence() == {"a": 1}
    state.apply_listing(listing(a=1), now + 1)
    assert state.missing(now + 1) == ()
    state.apply_listing(listing(a=2), now + 2)
    assert state.missing(now + 2) == ("a",)


def test_a_silent_entry_has_ended_once_its_presence_was_removed():
    state = MembershipState("me")
    state.apply_listing(listing(a=1), 0.0)
    state.apply_heartbeat(heartbeat("a"), 1.0)
    assert state.missing(5.0) == ("a",)
    state.apply_listing(listing(), 6.0)
    assert state.missing(6.0) == ()


def test_without_the_platform_a_silent_entry_stays_missing_until_the_timeout():
    state = MembershipState("me")
    state.apply_heartbeat(heartbeat("a"), 0.0)
    assert state.missing(OUTAGE_TIMEOUT_S - 1) == ("a",)
    assert state.missing(OUTAGE_TIMEOUT_S + 1) == ()


def test_an_entry_that_announced_its_stop_is_never_missing():
    state = MembershipState("me")
    state.apply_heartbeat(heartbeat("a", stopping=True), 0.0)
    assert state.missing(FAILURE_TIMEOUT_S + 0.1) == ()


def test_malformed_presence_objects_are_ignored():
    state = MembershipState("me")
    good = attrs.asdict(Presence("a", "a:1", "d"))
    bad = [None, 3, [], {}, {"incarnation": "x"}, {**good, "address": 5}, {**good, "address": "a"}]
    items = [Versioned(f"presence/{n}", 1, value) for n, value in enumerate([*bad, good])]
    state.apply_listing(Listing(1, tuple(items)), 0.0)
    assert state.addresses == {"a": "a:1"}


def test_control_processes_are_not_peers():
    state = MembershipState("me")
    value = attrs.asdict(Presence("c", "c:1", "d", role="control"))
    state.apply_listing(Listing(1, (Versioned("presence/c", 1, value),)), 0.0)
    assert state.addresses == {}
