"""The catalog in force while the store returns from an older copy."""

import gevent
from result import Ok

from hickoryloom.catalog import Catalog, CatalogFollower
from hickoryloom.clock import ManualClock
from hickoryloom.store import Versioned, join_version

REVOKE_S = 5.0


class StoreClient:
    def __init__(self):
        self.stored = None

    def put(self, era, revision, version):
        self.stored = Versioned("config/main", join_version(era, revision), version)

    def get(self, key):
        return Ok(self.stored)


def build_follower():
    clock, client = ManualClock(), StoreClient()
    decode = lambda value: Ok(Catalog(version=value))  # noqa: E731
    follower = CatalogFollower(client, "config/main", decode, clock, REVOKE_S, 2.0)
    client.put(1, 9, 7)
    follower._step()
    clock.advance(1.0)
    return follower, client, clock


def test_a_shorter_bound_is_followed_by_a_read_at_once():
    """Guards against refusals after a reload, until the pause that fitted the bound before ends."""
    follower, client, _ = build_follower()
    client.put(1, 10, 8)
    follower.start()
    gevent.sleep(0.05)
    client.put(1, 11, 9)
    follower.set_bounds(REVOKE_S / 5, 2.0)
    gevent.sleep(0.05)
    follower.stop()
    assert follower.catalog.version == 9


def test_an_older_catalog_of_a_copy_is_neither_applied_nor_a_confirmation():
    follower, client, clock = build_follower()
    client.put(2, 4, 5)
    for _ in range(10):
        clock.advance(follower._step())
    assert follower.catalog.version == 7
    assert not follower.view.allows_keys(clock.now)


def test_the_version_in_force_confirms_the_view_once_it_is_stored_again():
    follower, client, clock = build_follower()
    client.put(2, 4, 5)
    follower._step()
    client.put(2, 6, 7)
    follower._step()
    assert follower.view.age(clock.now) == 0.0


def test_a_newer_version_with_a_smaller_revision_is_applied():
    follower, client, _ = build_follower()
    client.put(2, 5, 8)
    follower._step()
    assert follower.catalog.version == 8


def test_another_catalog_with_the_same_revision_is_applied():
    follower, client, _ = build_follower()
    client.put(2, 9, 8)
    follower._step()
    assert follower.catalog.version == 8
