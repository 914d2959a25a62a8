"""The object store of the platform stand-in against a model, with watches and stale reads."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hickoryloom.standins.objects import Conflict, ObjectStore

KEYS = st.sampled_from(["a/1", "a/2", "b/1"])


class StoreMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = ObjectStore(lambda: self.now)
        self.values = {}
        self.used = set()
        self.history = [(0.0, {})]

    @rule(key=KEYS, if_version=st.integers(0, 4), value=st.integers(1, 9))
    def put(self, key, if_version, value):
        version = self.values.get(key, (0, None))[0]
        try:
            stored = self.store.put(key, value, if_version)
        except Conflict as conflict:
            assert conflict.version == version != if_version
            return
        assert if_version == version
        assert (key, stored.version) not in self.used, "a version was used again"
        self.used.add((key, stored.version))
        self.values[key] = (stored.version, value)
        self.history.append((self.now, dict(self.values)))

    @rule(key=KEYS)
    def delete(self, key):
        if key not in self.values:
            return
        self.store.delete(key, self.values.pop(key)[0])
        self.history.append((self.now, dict(self.values)))

    @rule(seconds=st.sampled_from([0.5, 1.0, 5.0]))
    def time_passes(self, seconds):
        self.now += seconds

    @rule(age_s=st.sampled_from([0.2, 1.0, 6.0]))
    def read_stale(self, age_s):
        _, items = self.store.list_prefix("", age_s)
        old = [values for time, values in self.history if time <= self.now - age_s]
        expected = old[-1] if old else {}
        assert {item.key: (item.version, item.value) for item in items} == expected

    @rule(data=st.data())
    def follow(self, data):
        """Changes since any revision lead from the state of then to the state of now."""
        since = data.draw(st.integers(0, self.store.revision))
        changes = self.store.changes("", since)
        values = {}
        for change in self.store.changes("", 0)[:since]:
            values[change.key] = change.value
        for change in changes:
            values[change.key] = change.value
        live = {key: value for key, value in values.items() if value is not None}
        assert live == {key: value for key, (_, value) in self.values.items()}

    @invariant()
    def reads_agree(self):
        _, items = self.store.list_prefix("")
        found = {item.key: (item.version, item.value) for item in items}
        assert found == self.values


StoreMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestStore = StoreMachine.TestCase


def test_watch_from_an_unknown_revision_must_list_again():
    store = ObjectStore(lambda: 0.0)
    store.put("a", 1, 0)
    assert store.changes("", 0) is not None
    assert store.changes("", 7) is None
