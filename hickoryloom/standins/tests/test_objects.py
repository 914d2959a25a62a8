"""Compares the object store of the platform stand-in with a model, including stale reads."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hickoryloom.standins.objects import ConflictError, ObjectStore

KEYS = st.sampled_from(["a/1", "a/2", "b/1"])


class StoreMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = ObjectStore(lambda: self.now)
        self.current = {}
        self.written_versions = set()
        self.history = [(0.0, {})]

    @rule(key=KEYS, if_version=st.integers(0, 4), value=st.integers(1, 9))
    def put(self, key, if_version, value):
        version = self.current.get(key, (0, None))[0]
        try:
            stored = self.store.put(key, value, if_version)
        except ConflictError as conflict:
            assert conflict.version == version != if_version
            return
        assert if_version == version
        assert (key, stored.version) not in self.written_versions, "a version number was reused"
        self.written_versions.add((key, stored.version))
        self.current[key] = (stored.version, value)
        self.history.append((self.now, dict(self.current)))

    @rule(key=KEYS)
    def delete(self, key):
        if key not in self.current:
            return
        self.store.delete(key, self.current.pop(key)[0])
        self.history.append((self.now, dict(self.current)))

    @rule(seconds=st.sampled_from([0.5, 1.0, 5.0]))
    def advance_clock(self, seconds):
        self.now += seconds

    @rule(age_s=st.sampled_from([0.2, 1.0, 6.0]))
    def read_stale(self, age_s):
        _, items = self.store.list_prefix("", age_s)
        old_enough = [current for time, current in self.history if time <= self.now - age_s]
        expected = old_enough[-1] if old_enough else {}
        assert {item.key: (item.version, item.value) for item in items} == expected

    @rule(data=st.data())
    def replay_changes(self, data):
        """Changes since a revision, applied to the state at that revision, give the current one."""
        since = data.draw(st.integers(0, self.store.revision))
        changes = self.store.changes("", since)
        values = {}
        for change in self.store.changes("", 0)[:since]:
            values[change.key] = change.value
        for change in changes:
            values[change.key] = change.value
        replayed = {key: value for key, value in values.items() if value is not None}
        assert replayed == {key: value for key, (_, value) in self.current.items()}

    @invariant()
    def reads_match_the_model(self):
        _, items = self.store.list_prefix("")
        found = {item.key: (item.version, item.value) for item in items}
        assert found == self.current


StoreMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestStore = StoreMachine.TestCase


def test_changes_since_an_unknown_revision_are_unavailable():
    store = ObjectStore(lambda: 0.0)
    store.put("a", 1, 0)
    assert store.changes("", 0) is not None
    assert store.changes("", 7) is None
