"""A state machine: followers apply whole generations, never an older one, by any way."""

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
from hickoryloom.configuration.follower_state import FollowerState, read_shard
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


def documents(weights):
    customers = {
        f"customer-{n}": Customer(f"customer-{n}", ("c",), weight=w) for n, w in weights.items()
    }
    return Documents(classes={"c": RequestClass("c", 1, 100, 10)}, customers=customers)


class Following(RuleBasedStateMachine):
    """Operators change the configuration; roots reach followers late, old and out of order."""

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
        self.truth = {0: Snapshot(0)}
        self.number = 0

    def teardown(self):
        for patch in self._patches:
            patch.stop()

    @initialize()
    def first(self):
        self.publish({0: 1, 1: 1})

    @rule(weights=st.dictionaries(st.integers(0, 12), st.integers(1, 3), max_size=10))
    def publish(self, weights):
        new = documents({**weights, 0: 1})
        if publish(self.platform, new).is_ok():
            self._remember(new)

    @rule()
    def issue(self):
        self.number += 1
        key = KeyRecord(f"{self.number:064x}", "customer-0", f"k{self.number}", issued=True)
        issue_key(self.platform, key).unwrap()
        self._remember(None)

    @rule(data=st.data())
    def withdraw(self, data):
        keys = sorted(self._latest().keys)
        if keys:
            withdraw_key(self.platform, data.draw(st.sampled_from(keys))).unwrap()
            self._remember(None)

    @rule(
        number=st.integers(0, FOLLOWERS - 1),
        back=st.integers(0, 6),
        by_changes=st.booleans(),
        lost=st.booleans(),
    )
    def deliver(self, number, back, by_changes, lost):
        """Deliver a recent or an old root, and the shards that the platform still has."""
        root = self.roots[max(0, len(self.roots) - 1 - back)]
        follower = self.followers[number]
        if by_changes and follower.apply_changes(root):
            return
        fetched = {}
        for name in follower.missing(root, {}):
            stored = self.platform.objects.get(object_key(name, root.shards[name]))
            if stored is not None and not lost:
                fetched[name] = read_shard(name, root.shards[name], stored.value)
        follower.apply_shards(root, fetched)

    @rule(source=st.integers(0, FOLLOWERS - 1), taker=st.integers(0, FOLLOWERS - 1))
    def pass_on(self, source, taker):
        """One follower takes what another has, as peers do."""
        root = self.followers[source].root
        if root is None or not self.followers[taker].is_newer(root):
            return
        fetched = {}
        for name in self.followers[taker].missing(root, {}):
            content = self.followers[source].shard_content(name)
            fetched[name] = read_shard(name, root.shards[name], content)
        assert self.followers[taker].apply_shards(root, fetched)

    @invariant()
    def whole_generations_only_and_never_an_older_one(self):
        for number, follower in enumerate(self.followers):
            generation = follower.snapshot.generation
            assert generation >= self.applied[number]
            self.applied[number] = generation
            assert follower.snapshot == self.truth[generation]

    @invariant()
    def changed_keys_are_all_that_differ(self):
        for follower in self.followers:
            new = follower.snapshot
            if new.changed_from >= 0:
                old = self.truth[new.changed_from]
                for key in {*old.keys, *new.keys} - new.changed_keys:
                    assert old.keys.get(key) == new.keys.get(key)

    @invariant()
    def held_shards_are_those_of_the_root(self):
        for follower in self.followers:
            for name, reference in (follower.root.shards if follower.root else {}).items():
                if name.partition("-")[0] in SECTION_KINDS:
                    digest = digest_of(follower.shard_content(name))
                    assert digest == reference.partition("-")[2]

    @invariant()
    def the_platform_holds_just_the_shards_in_force(self):
        shards = {key for key in self.platform.objects if key != ROOT_KEY}
        if self.roots:
            assert shards == {object_key(n, ref) for n, ref in self.roots[-1].shards.items()}

    def _latest(self):
        return self.truth[max(self.truth)]

    def _remember(self, published):
        root = Root.from_json(self.platform.objects[ROOT_KEY].value)
        if root.generation == max(self.truth):
            return
        stored = StoredConfiguration(self.platform, root)
        keys = {
            key: KeyRecord(key, found["customer"], found["label"], issued=True)
            for key, found in stored.section("keys").items()
        }
        before = self._latest()
        changed = {} if published is None else attrs.asdict(published, recurse=False)
        changed["keys"] = keys
        self.truth[root.generation] = attrs.evolve(before, generation=root.generation, **changed)
        self.roots.append(root)


TestFollowing = Following.TestCase
TestFollowing.settings = settings(max_examples=60, stateful_step_count=30)


def test_a_shard_that_is_not_what_the_root_names_is_refused():
    content = {"a": {"classes": ["c"]}}
    assert read_shard("customers-1-0", f"1-{digest_of(content)}", content).records
    with pytest.raises(ValueError, match="not of digest"):
        read_shard("customers-1-0", f"1-{digest_of(content)}", {"a": {"classes": ["d"]}})
