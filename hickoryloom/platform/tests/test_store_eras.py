"""The store's client while the store returns from an older copy, without processes."""

import pytest

from hickoryloom.clock import SystemClock
from hickoryloom.platform.objects import PlatformObjects
from hickoryloom.platform.tests.standin import Store
from hickoryloom.store import ErrorKind, PlatformClient, split_version
from hickoryloom.verdict import Applied


@pytest.fixture
def store():
    store = Store()
    yield store
    store.stop()


@pytest.fixture
def client(store):
    client = PlatformClient(store.address, SystemClock(), codec=PlatformObjects())
    yield client
    client.close()


def test_versions_of_a_later_era_are_greater_although_revisions_go_back(store, client):
    copy = store.copy()
    store.put("kind", "other", 1)
    store.put("kind", "a", 1)
    before = client.get("kind/a").unwrap().version
    store.return_from(copy)
    store.put("kind", "a", 2)
    after = client.get("kind/a").unwrap().version
    assert split_version(after)[1] < split_version(before)[1]
    assert after > before
    assert (client.era, client.era_changes) == (2, 1)


def test_no_write_is_sent_with_a_version_of_an_earlier_era(store, client):
    store.put("kind", "a", 1)
    version = client.get("kind/a").unwrap().version
    store.return_from(store.copy())
    client.get("kind/a")
    calls = len(store.calls)
    for result in (client.update("kind/a", 2, version), client.delete("kind/a", version)):
        assert result.unwrap_err().kind is ErrorKind.CONFLICT
        assert result.unwrap_err().applied is Applied.NOT_APPLIED
    assert len(store.calls) == calls


def test_a_write_that_succeeds_in_a_later_era_counts_as_unknown(store, client):
    store.put("kind", "a", 1)
    version = client.get("kind/a").unwrap().version
    store.return_from(store.copy())
    assert client.update("kind/a", 2, version).unwrap_err().applied is Applied.UNKNOWN
    assert client.get("kind/a").unwrap().value == 2


def test_an_answer_of_an_earlier_era_is_dropped(store, client):
    store.put("kind", "a", 1)
    client.get("kind/a")
    client.learn_era(2)
    assert client.get("kind/a").unwrap_err().kind is ErrorKind.UNAVAILABLE
    store.era = 2
    assert client.get("kind/a").is_ok()


@pytest.mark.parametrize("knows_era", [True, False])
def test_a_watch_from_a_revision_of_an_earlier_era_is_reset(store, client, knows_era):
    copy = store.copy()
    store.put("kind", "a", 1)
    revision = client.list("kind/").unwrap().revision
    store.return_from(copy)
    for name in "bcd":
        store.put("kind", name, 1)
    if knows_era:
        client.get("kind/b")
    batch = client.watch("kind/", revision, 0.1).unwrap()
    assert batch.reset and batch.changes == ()


def test_a_listing_that_spans_two_eras_is_an_error(store, client):
    for name in "abcdef":
        store.put("kind", name, 1)
    copy = store.copy()
    get = store._get

    def return_before_the_second_page(kind, name, query, body):
        if "after_revision" in query:
            store._get = get
            store.return_from(copy)
        return get(kind, name, query, body)

    store._get = return_before_the_second_page
    assert client.list("kind/").unwrap_err().kind is ErrorKind.UNAVAILABLE
    assert len(client.list("kind/").unwrap().items) == 6


def test_registrations_get_the_grace_of_an_outage_after_a_return(store, client):
    client.list("kind/")
    assert client.objects_available_since == float("-inf")
    store.return_from(store.copy())
    client.list("kind/")
    assert client.objects_available_since > 0
