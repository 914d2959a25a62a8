"""Publishing and following against an in-memory platform."""

from pathlib import Path

import attrs
import gevent
import pytest

from hickoryloom.clock import SystemClock
from hickoryloom.configuration import (
    ChangeErrorKind,
    ConfigurationFollower,
    Customer,
    KeyRecord,
    Publisher,
    issue_key,
    list_keys,
    publish,
    publish_change,
    read_documents,
    withdraw_key,
)
from hickoryloom.configuration.root import ROOT_KEY
from hickoryloom.configuration.tests.fakes import FakePlatform

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


def load_studio():
    return read_documents(EXAMPLES / "studio").unwrap()


def start_follower(platform):
    follower = ConfigurationFollower(platform, SystemClock())
    follower.start()
    return follower


def wait_for_generation(follower, generation):
    with gevent.Timeout(5):
        while follower.snapshot.generation < generation:
            gevent.sleep(0.01)
    assert follower.snapshot.generation == generation


def key_record(number, customer="museum-shop"):
    return KeyRecord(f"{number:064x}", customer, f"key-{number}", issued=True)


def no_sleep(seconds):
    return None


def test_follower_applies_a_published_generation():
    platform = FakePlatform()
    follower = start_follower(platform)
    assert publish(platform, load_studio()).unwrap() == 1
    wait_for_generation(follower, 1)
    documents = load_studio()
    assert follower.snapshot.pools == documents.pools
    assert follower.snapshot.services == documents.services
    assert follower.snapshot.classes == documents.classes
    assert follower.snapshot.customers == documents.customers
    follower.stop()


def test_publishing_identical_documents_creates_no_generation():
    platform = FakePlatform()
    assert publish(platform, load_studio()).unwrap() == 1
    assert publish(platform, load_studio()).unwrap() == 1


def test_follower_applies_key_changes_without_reading_shards():
    platform = FakePlatform()
    publish(platform, load_studio()).unwrap()
    follower = start_follower(platform)
    wait_for_generation(follower, 1)
    seen = []
    follower.subscribe(lambda old, new: seen.append((old.generation, new.generation)))
    reads = platform.calls["get"]
    key = key_record(7)
    issue_reads = 2 + 1  # root, shard of the customer and shard of the key
    assert issue_key(platform, key).unwrap() == 2
    wait_for_generation(follower, 2)
    assert follower.snapshot.keys == {key.hash: key}
    assert platform.calls["get"] - reads <= issue_reads
    assert withdraw_key(platform, "key-7").unwrap() == 3
    wait_for_generation(follower, 3)
    assert follower.snapshot.keys == {}
    assert seen == [(1, 2), (2, 3)]
    follower.stop()


def test_publish_keeps_issued_keys_and_omits_withdrawn_ones():
    platform = FakePlatform()
    listed = attrs.evolve(key_record(1), issued=False)
    documents = attrs.evolve(load_studio(), keys={listed.hash: listed})
    publish(platform, documents).unwrap()
    issue_key(platform, key_record(2)).unwrap()
    withdraw_key(platform, listed.hash[:12]).unwrap_err()  # the prefix of zeros matches both keys
    withdraw_key(platform, listed.hash).unwrap()
    customers = {**documents.customers, "new": Customer("new", ("booking",))}
    publish(platform, attrs.evolve(documents, customers=customers)).unwrap()
    assert [key.label for key in list_keys(platform).unwrap()] == ["key-2"]


def test_publish_refuses_to_orphan_an_issued_key():
    platform = FakePlatform()
    publish(platform, load_studio()).unwrap()
    issue_key(platform, key_record(2, "archive")).unwrap()
    customers = {name: c for name, c in load_studio().customers.items() if name != "archive"}
    error = publish(platform, attrs.evolve(load_studio(), customers=customers)).unwrap_err()
    assert error.kind is ChangeErrorKind.INVALID
    assert "archive" in str(error.faults[0])


def test_issue_reports_an_unknown_customer():
    platform = FakePlatform()
    publish(platform, load_studio()).unwrap()
    error = issue_key(platform, key_record(3, "nobody")).unwrap_err()
    assert error.kind is ChangeErrorKind.ABSENT and "nobody" in error.detail


@pytest.mark.parametrize("lost", range(1, 12))
def test_lost_response_is_resolved_by_reading_the_root(lost):
    platform = FakePlatform()
    writes = [0]

    def lose_one(key):
        writes[0] += 1
        platform.responses_to_lose = 1 if writes[0] == lost else 0

    platform.before_write = lose_one
    change = publish_change(load_studio())
    assert Publisher(platform, sleep=no_sleep).apply(change, "first").unwrap() == 1
    assert platform.objects[ROOT_KEY].value["generation"] == 1
    assert platform.objects[ROOT_KEY].version == 1


def test_concurrent_publications_do_not_overwrite_each_other():
    platform = FakePlatform()
    publish(platform, load_studio()).unwrap()
    other = attrs.evolve(
        load_studio(), customers={**load_studio().customers, "b": Customer("b", ("booking",))}
    )
    own = attrs.evolve(
        load_studio(), customers={**load_studio().customers, "a": Customer("a", ("booking",))}
    )
    raced = []

    def race(key):
        if key == ROOT_KEY and not raced:
            raced.append(True)
            platform.before_write = lambda key: None
            assert publish(platform, other).unwrap() == 2

    platform.before_write = race
    error = publish(platform, own).unwrap_err()
    assert error.kind is ChangeErrorKind.CONFLICT
    assert platform.objects[ROOT_KEY].value["generation"] == 2


def test_a_key_issued_during_a_publication_is_kept():
    platform = FakePlatform()
    publish(platform, load_studio()).unwrap()
    own = attrs.evolve(
        load_studio(), customers={**load_studio().customers, "a": Customer("a", ("booking",))}
    )
    raced = []

    def race(key):
        if key == ROOT_KEY and not raced:
            raced.append(True)
            issue_key(platform, key_record(9)).unwrap()

    platform.before_write = race
    assert publish(platform, own).unwrap() == 3
    assert [key.label for key in list_keys(platform).unwrap()] == ["key-9"]


def test_unreachable_platform_is_reported_as_unavailable():
    platform = FakePlatform()
    platform.down = True
    outcome = Publisher(platform, sleep=no_sleep).apply(publish_change(load_studio()), "id")
    assert outcome.unwrap_err().kind is ChangeErrorKind.UNAVAILABLE


def test_only_shards_of_the_current_generation_remain():
    platform = FakePlatform()
    publish(platform, load_studio()).unwrap()
    for number in range(70):
        issue_key(platform, key_record(number)).unwrap()
    root = platform.objects[ROOT_KEY].value
    current = {f"config/shards/{name}-{ref}" for name, ref in root["shards"].items()}
    assert {key for key in platform.objects if key != ROOT_KEY} == current


def test_new_follower_applies_the_generation_of_another_during_an_outage():
    platform = FakePlatform()
    publish(platform, load_studio()).unwrap()
    issue_key(platform, key_record(4)).unwrap()
    follower_before = start_follower(platform)
    wait_for_generation(follower_before, 2)
    platform.set_down(True)
    follower_during = start_follower(platform)
    assert follower_during.apply_bundle(follower_before.export_bundle())
    assert follower_during.snapshot == follower_before.snapshot
    assert not follower_during.apply_bundle(follower_before.export_bundle())
    follower_before.stop()
    follower_during.stop()


def test_a_platform_restored_from_a_backup_never_reverts_a_follower():
    platform = FakePlatform()
    publish(platform, load_studio()).unwrap()
    backup = dict(platform.objects)
    for number in range(3):
        issue_key(platform, key_record(number)).unwrap()
    follower = start_follower(platform)
    wait_for_generation(follower, 4)
    platform.objects = backup
    assert issue_key(platform, key_record(9)).unwrap() == 2
    gevent.sleep(0.3)
    assert follower.snapshot.generation == 4
    assert publish(platform, load_studio(), after_generation=4).unwrap() == 5
    wait_for_generation(follower, 5)
    assert [key.label for key in follower.snapshot.keys.values()] == ["key-9"]
    follower.stop()


MALFORMED_ROOTS = [
    None,
    "text",
    {},
    {"generation": 2},
    {"generation": 2, "publish_id": "x", "documents": "", "shards": [], "changes": []},
    {"generation": 2, "publish_id": "x", "documents": "", "shards": {}, "changes": [1]},
]


@pytest.mark.parametrize("number", range(len(MALFORMED_ROOTS) + 3))
def test_malformed_root_is_neither_applied_nor_ends_the_follower(number):
    platform = FakePlatform()
    publish(platform, load_studio()).unwrap()
    follower = start_follower(platform)
    wait_for_generation(follower, 1)
    valid = platform.objects[ROOT_KEY].value
    malformed = (
        MALFORMED_ROOTS[number]
        if number < len(MALFORMED_ROOTS)
        else root_with_malformed_change(valid, number)
    )
    platform.update(ROOT_KEY, malformed, 1).unwrap()
    gevent.sleep(0.3)
    assert follower.snapshot.generation == 1
    platform.update(ROOT_KEY, valid, 2).unwrap()
    assert issue_key(platform, key_record(1)).unwrap() == 2
    wait_for_generation(follower, 2)
    follower.stop()


def root_with_malformed_change(valid, number):
    """Return a root of generation 2 whose change contains a malformed record."""
    record = [{"customer": 7}, "text", {"customer": "museum-shop"}][number - len(MALFORMED_ROOTS)]
    put = {"keys": {"0" * 64: record}}
    change = {"generation": 2, "publish_id": "x", "follows": valid["publish_id"], "put": put}
    shards = {**valid["shards"], "keys-1-0": "2-0000"}
    return {**valid, "generation": 2, "changes": [change], "shards": shards}
