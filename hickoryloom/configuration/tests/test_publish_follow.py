"""Publishing and following together, on an in-memory platform."""

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


def studio():
    return read_documents(EXAMPLES / "studio").unwrap()


def follow(platform):
    follower = ConfigurationFollower(platform, SystemClock())
    follower.start()
    return follower


def wait_for(follower, generation):
    with gevent.Timeout(5):
        while follower.snapshot.generation < generation:
            gevent.sleep(0.01)
    assert follower.snapshot.generation == generation


def key_record(number, customer="museum-shop"):
    return KeyRecord(f"{number:064x}", customer, f"key-{number}", issued=True)


def no_sleep(seconds):
    return None


def test_a_published_generation_comes_in_force_at_a_follower():
    platform = FakePlatform()
    follower = follow(platform)
    assert publish(platform, studio()).unwrap() == 1
    wait_for(follower, 1)
    documents = studio()
    assert follower.snapshot.pools == documents.pools
    assert follower.snapshot.services == documents.services
    assert follower.snapshot.classes == documents.classes
    assert follower.snapshot.customers == documents.customers
    follower.stop()


def test_the_same_documents_again_make_no_generation():
    platform = FakePlatform()
    assert publish(platform, studio()).unwrap() == 1
    assert publish(platform, studio()).unwrap() == 1


def test_issue_and_withdraw_reach_a_follower_without_reading_shards():
    platform = FakePlatform()
    publish(platform, studio()).unwrap()
    follower = follow(platform)
    wait_for(follower, 1)
    seen = []
    follower.subscribe(lambda old, new: seen.append((old.generation, new.generation)))
    reads = platform.calls["get"]
    key = key_record(7)
    issue_reads = 2 + 1  # the root, the customer's shard and the key's
    assert issue_key(platform, key).unwrap() == 2
    wait_for(follower, 2)
    assert follower.snapshot.keys == {key.hash: key}
    assert platform.calls["get"] - reads <= issue_reads
    assert withdraw_key(platform, "key-7").unwrap() == 3
    wait_for(follower, 3)
    assert follower.snapshot.keys == {}
    assert seen == [(1, 2), (2, 3)]
    follower.stop()


def test_publish_keeps_issued_keys_and_leaves_withdrawn_ones_out():
    platform = FakePlatform()
    listed = attrs.evolve(key_record(1), issued=False)
    documents = attrs.evolve(studio(), keys={listed.hash: listed})
    publish(platform, documents).unwrap()
    issue_key(platform, key_record(2)).unwrap()
    withdraw_key(platform, listed.hash[:12]).unwrap_err()  # all zeros match both keys
    withdraw_key(platform, listed.hash).unwrap()
    customers = {**documents.customers, "new": Customer("new", ("booking",))}
    publish(platform, attrs.evolve(documents, customers=customers)).unwrap()
    assert [key.label for key in list_keys(platform).unwrap()] == ["key-2"]


def test_publish_refuses_to_orphan_an_issued_key():
    platform = FakePlatform()
    publish(platform, studio()).unwrap()
    issue_key(platform, key_record(2, "archive")).unwrap()
    customers = {name: c for name, c in studio().customers.items() if name != "archive"}
    error = publish(platform, attrs.evolve(studio(), customers=customers)).unwrap_err()
    assert error.kind is ChangeErrorKind.FAULTY
    assert "archive" in str(error.faults[0])


def test_issue_names_an_unknown_customer():
    platform = FakePlatform()
    publish(platform, studio()).unwrap()
    error = issue_key(platform, key_record(3, "nobody")).unwrap_err()
    assert error.kind is ChangeErrorKind.ABSENT and "nobody" in error.detail


@pytest.mark.parametrize("lost", range(1, 12))
def test_a_lost_answer_is_settled_by_reading_back(lost):
    platform = FakePlatform()
    count = [0]

    def lose_one(key):
        count[0] += 1
        platform.lose = 1 if count[0] == lost else 0

    platform.before_write = lose_one
    change = publish_change(studio())
    assert Publisher(platform, sleep=no_sleep).apply(change, "first").unwrap() == 1
    assert platform.objects[ROOT_KEY].value["generation"] == 1
    assert platform.objects[ROOT_KEY].version == 1


def test_racing_documents_do_not_overwrite_each_other():
    platform = FakePlatform()
    publish(platform, studio()).unwrap()
    other = attrs.evolve(
        studio(), customers={**studio().customers, "b": Customer("b", ("booking",))}
    )
    mine = attrs.evolve(
        studio(), customers={**studio().customers, "a": Customer("a", ("booking",))}
    )
    raced = []

    def race(key):
        if key == ROOT_KEY and not raced:
            raced.append(True)
            platform.before_write = lambda key: None
            assert publish(platform, other).unwrap() == 2

    platform.before_write = race
    error = publish(platform, mine).unwrap_err()
    assert error.kind is ChangeErrorKind.RACED
    assert platform.objects[ROOT_KEY].value["generation"] == 2


def test_a_key_issued_during_a_publication_is_kept():
    platform = FakePlatform()
    publish(platform, studio()).unwrap()
    mine = attrs.evolve(
        studio(), customers={**studio().customers, "a": Customer("a", ("booking",))}
    )
    raced = []

    def race(key):
        if key == ROOT_KEY and not raced:
            raced.append(True)
            issue_key(platform, key_record(9)).unwrap()

    platform.before_write = race
    assert publish(platform, mine).unwrap() == 3
    assert [key.label for key in list_keys(platform).unwrap()] == ["key-9"]


def test_an_unreachable_platform_is_told_as_not_in_force():
    platform = FakePlatform()
    platform.down = True
    outcome = Publisher(platform, sleep=no_sleep).apply(publish_change(studio()), "id")
    assert outcome.unwrap_err().kind is ChangeErrorKind.UNAVAILABLE


def test_only_shards_of_the_generation_in_force_remain():
    platform = FakePlatform()
    publish(platform, studio()).unwrap()
    for number in range(70):
        issue_key(platform, key_record(number)).unwrap()
    root = platform.objects[ROOT_KEY].value
    in_force = {f"config/shards/{name}-{ref}" for name, ref in root["shards"].items()}
    assert {key for key in platform.objects if key != ROOT_KEY} == in_force


def test_a_new_follower_takes_the_generation_of_another_during_an_outage():
    platform = FakePlatform()
    publish(platform, studio()).unwrap()
    issue_key(platform, key_record(4)).unwrap()
    old = follow(platform)
    wait_for(old, 2)
    platform.set_down(True)
    new = follow(platform)
    assert new.offer(old.export())
    assert new.snapshot == old.snapshot
    assert not new.offer(old.export())
    old.stop()
    new.stop()


def test_a_platform_restored_from_a_backup_never_reverts_a_follower():
    platform = FakePlatform()
    publish(platform, studio()).unwrap()
    backup = dict(platform.objects)
    for number in range(3):
        issue_key(platform, key_record(number)).unwrap()
    follower = follow(platform)
    wait_for(follower, 4)
    platform.objects = backup
    assert issue_key(platform, key_record(9)).unwrap() == 2
    gevent.sleep(0.3)
    assert follower.snapshot.generation == 4
    assert publish(platform, studio(), after=4).unwrap() == 5
    wait_for(follower, 5)
    assert [key.label for key in follower.snapshot.keys.values()] == ["key-9"]
    follower.stop()


UNSOUND = [
    None,
    "text",
    {},
    {"generation": 2},
    {"generation": 2, "publish_id": "x", "documents": "", "shards": [], "changes": []},
    {"generation": 2, "publish_id": "x", "documents": "", "shards": {}, "changes": [1]},
]


@pytest.mark.parametrize("number", range(len(UNSOUND) + 3))
def test_an_unsound_root_neither_comes_in_force_nor_ends_the_follower(number):
    platform = FakePlatform()
    publish(platform, studio()).unwrap()
    follower = follow(platform)
    wait_for(follower, 1)
    sound = platform.objects[ROOT_KEY].value
    bad = UNSOUND[number] if number < len(UNSOUND) else unsound_change(sound, number)
    platform.update(ROOT_KEY, bad, 1).unwrap()
    gevent.sleep(0.3)
    assert follower.snapshot.generation == 1
    platform.update(ROOT_KEY, sound, 2).unwrap()
    assert issue_key(platform, key_record(1)).unwrap() == 2
    wait_for(follower, 2)
    follower.stop()


def unsound_change(sound, number):
    """Return a root of generation 2 whose change holds a record that is none."""
    record = [{"customer": 7}, "text", {"customer": "museum-shop"}][number - len(UNSOUND)]
    put = {"keys": {"0" * 64: record}}
    change = {"generation": 2, "publish_id": "x", "follows": sound["publish_id"], "put": put}
    shards = {**sound["shards"], "keys-1-0": "2-0000"}
    return {**sound, "generation": 2, "changes": [change], "shards": shards}
