"""State machine: followers apply complete generations in ascending order, from any source."""

from unittest import mock

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hickoryloom.configuration import Customer, Documents, KeyRecord, RequestClass, Snapshot
from hickoryloom.configuration import root as root_module
from hickoryloom.configuration import shards as shards_module
from hickoryloom.configuration.changes import issue_key, publish, withdraw_key
from hickoryloom.configuration.follower_state import FollowerState, decode_shard
from hickoryloom.configuration.root import ROOT_KEY, Root
from hickoryloom.configuration.shards import SECTION_KINDS, digest_of, object_key
from hickoryloom.configuration.stored import StoredConfiguration
from hickoryloom.configuration.tests.fakes import FakePlatform

SMALL_SIZES = {
    "GROW_ABOVE_BYTES": 700,
    "SHRINK_BELOW_BYTES": 100,
    "TARGET_SHARD_BYTES": 300,
}
FOLLOWERS = 3


def build_documents(weights):
    customers = {
        f"customer-{n}": Customer(f"customer-{n}", ("c",), weight=w) for n, w in weights.items()
    }
    return Documents(classes={"c": RequestClass("c", 1, 100, 10)}, customers=customers)


class Following(RuleBasedStateMachine):
    """Operators change the configuration; followers receive roots delayed and out of order."""

    def __init__(self):
        super().__init__()
        self._patches = [
            mock.patch.multiple(shards_module, **SMALL_SIZES),
            mock.patch.object(root_module, "MAX_CHANGES", 3),
        ]
        for patch in self._patches:
            patch.start()
        self.platform = FakePlatform()
        self.followers = [FollowerState() for _ in range(FOLLOWERS)]
        self.applied = [0] * FOLLOWERS
        self.roots = []
        self.expected = {0: Snapshot(0)}
        self.number = 0

    def teardown(self):
        for patch in self._patches:
            patch.stop()

    @initialize()
    def first(self):
        self.publish({0: 1, 1: 1})

    @rule(weights=st.dictionaries(st.integers(0, 12), st.integers(1, 3), max_size=10))
    def publish(self, weights):
        new = build_documents({**weights, 0: 1})
        if publish(self.platform, new).is_ok():
            self._record_generation(new)

    @rule()
    def issue(self):
        self.number += 1
        key = KeyRecord(f"{self.number:064x}", "customer-0", f"k{self.number}", issued=True)
        issue_key(self.platform, key).unwrap()
        self._record_generation(None)

    @rule(data=st.data())
    def withdraw(self, data):
        keys = sorted(self._latest().keys)
        if keys:
            withdraw_key(self.platform, data.draw(st.sampled_from(keys))).unwrap()
            self._record_generation(None)

    @rule(
        number=st.integers(0, FOLLOWERS - 1),
        age=st.integers(0, 6),
        by_changes=st.booleans(),
        shards_unavailable=st.booleans(),
    )
    def deliver(self, number, age, by_changes, shards_unavailable):
        """Deliver a recent or an old root, and the shards that the platform still has."""
        root = self.roots[max(0, len(self.roots) - 1 - age)]
        follower = self.followers[number]
        if by_changes and follower.apply_changes(root):
            return
        fetched = {}
        for name in follower.missing(root, {}):
            stored = self.platform.objects.get(object_key(name, root.shards[name]))
            if stored is not None and not shards_unavailable:
                fetched[name] = decode_shard(name, root.shards[name], stored.value)
        follower.apply_shards(root, fetched)

    @rule(source=st.integers(0, FOLLOWERS - 1), receiver=st.integers(0, FOLLOWERS - 1))
    def transfer(self, source, receiver):
        """Transfer the generation of one follower to another, as between peers."""
        root = self.followers[source].root
        if root is None or not self.followers[receiver].is_newer(root):
            return
        fetched = {}
        for name in self.followers[receiver].missing(root, {}):
            content = self.followers[source].shard_content(name)
            fetched[name] = decode_shard(name, root.shards[name], content)
        assert self.followers[receiver].apply_shards(root, fetched)

    @invariant()
    def generations_are_complete_and_ascending(self):
        for number, follower in enumerate(self.followers):
            generation = follower.snapshot.generation
            assert generation >= self.applied[number]
            self.applied[number] = generation
            assert follower.snapshot == self.expected[generation]

    @invariant()
    def changed_keys_include_all_differences(self):
        for follower in self.followers:
            new = follower.snapshot
            if new.changed_from >= 0:
                old = self.expected[new.changed_from]
                for key in {*old.keys, *new.keys} - new.changed_keys:
                    assert old.keys.get(key) == new.keys.get(key)

    @invariant()
    def loaded_shards_match_the_root(self):
        for follower in self.followers:
            for name, reference in (follower.root.shards if follower.root else {}).items():
                if name.partition("-")[0] in SECTION_KINDS:
                    digest = digest_of(follower.shard_content(name))
                    assert digest == reference.partition("-")[2]

    @invariant()
    def platform_stores_only_the_current_shards(self):
        shards = {key for key in self.platform.objects if key != ROOT_KEY}
        if self.roots:
            assert shards == {object_key(n, ref) for n, ref in self.roots[-1].shards.items()}

    def _latest(self):
        return self.expected[max(self.expected)]

    def _record_generation(self, published):
        root = Root.from_json(self.platform.objects[ROOT_KEY].value)
        if root.generation == max(self.expected):
            return
        stored = StoredConfiguration(self.platform, root)
        keys = {
            key: KeyRecord(key, found["customer"], found["label"], issued=True)
            for key, found in stored.section("keys").items()
        }
        before = self._latest()
        changed = {} if published is None else attrs.asdict(published, recurse=False)
        changed["keys"] = keys
        self.expected[root.generation] = attrs.evolve(before, generation=root.generation, **changed)
        self.roots.append(root)


TestFollowing = Following.TestCase
TestFollowing.settings = settings(max_examples=60, stateful_step_count=30)


def test_shard_with_another_digest_is_rejected():
    content = {"a": {"classes": ["c"]}}
    assert decode_shard("customers-1-0", f"1-{digest_of(content)}", content).records
    with pytest.raises(ValueError, match="does not match the digest"):
        decode_shard("customers-1-0", f"1-{digest_of(content)}", {"a": {"classes": ["d"]}})
