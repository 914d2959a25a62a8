"""Origins in the store, over instances that die together, return under other names and see late.

The state machine guards against a stream that goes on at another version than the one that began
it; the tests after it against streams that are refused though their version is known.
"""

import random

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from result import Err, Ok

from hickoryloom.clock import ManualClock
from hickoryloom.discovery import BackendServer
from hickoryloom.evidence import SharedRecords
from hickoryloom.origins import (
    ORIGIN_TOPICS,
    ListedVersions,
    OriginJournals,
    OriginKeepers,
    SoftwareVersions,
    StreamOrigins,
    VersionLists,
    journal_reader,
    origin_key,
    task,
)
from hickoryloom.origins.journal import JOURNALS_PREFIX, read_journal
from hickoryloom.origins.journals_task import FIRST_LEAVE_S, MIN_WRITE_INTERVAL_S
from hickoryloom.origins.listed import HOLD_S, LIFETIME_S, REMOVE_AFTER_S, list_key, listed_names
from hickoryloom.store import ErrorKind, Listing, PlatformError, Versioned
from hickoryloom.verdict import Applied

SERVICE = "llm"
TICK_S = 0.25
AWAY = PlatformError(ErrorKind.UNAVAILABLE, Applied.NOT_APPLIED, "away")
LOST = PlatformError(ErrorKind.UNAVAILABLE, Applied.UNKNOWN, "answer lost")
SOME_VERSIONS = st.sets(st.sampled_from(("v1", "v2", "v3")), min_size=1, max_size=2)


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    set_short_waits(monkeypatch.setattr)


def set_short_waits(replace):
    """Calls and datagrams are answered at once or never, so that waiting changes nothing."""
    replace(task, "ASK_TIMEOUT_S", 0.0)
    replace(journal_reader, "READ_INTERVAL_S", 0.0)


class Store:
    """Objects with conditional writes; `away` fails all calls, `lose` the answers of writes."""

    era = 0

    def __init__(self):
        self.objects = {}
        self.revision = 10
        self.away = False
        self.lose = 0
        self.writes = self.reads = 0

    def get(self, key, priority=None):
        self.reads += 1
        if self.away:
            return Err(AWAY)
        if key not in self.objects:
            return Err(PlatformError(ErrorKind.ABSENT, Applied.NOT_APPLIED))
        return Ok(self.objects[key])

    def list(self, prefix, priority=None):
        self.reads += 1
        if self.away:
            return Err(AWAY)
        found = [found for key, found in sorted(self.objects.items()) if key.startswith(prefix)]
        return Ok(Listing(self.revision, tuple(found)))

    def update(self, key, value, if_version, guard=None, priority=None):
        return self._change(key, if_version, value)

    def delete(self, key, if_version, priority=None):
        return self._change(key, if_version, None)

    def _change(self, key, if_version, value):
        self.writes += 1
        if self.away:
            return Err(AWAY)
        version = self.objects[key].version if key in self.objects else 0
        if if_version != version:
            return Err(PlatformError(ErrorKind.CONFLICT, Applied.NOT_APPLIED, "", 0.0, version))
        self.revision += 1
        if value is None:
            del self.objects[key]
        else:
            self.objects[key] = Versioned(key, self.revision, value)
        if self.lose:
            self.lose -= 1
            return Err(LOST)
        return Ok(self.objects.get(key))

    def listed(self):
        found = self.objects.get(list_key(SERVICE))
        return listed_names(found.value) if found else frozenset()

    def journals(self):
        return [read_journal(found.value) for found in self.list(JOURNALS_PREFIX).ok_value.items]


class Client:
    """Calls the store for one instance, which it may turn away."""

    era = 0

    def __init__(self, site, address):
        self._site, self._address = site, address

    def __getattr__(self, name):
        if self._address in self._site.turned_away:
            return lambda *arguments, **options: Err(AWAY)
        return getattr(self._site.store, name)


class Instance:
    """One process, which is also its own port for datagrams."""

    is_open = True

    def __init__(self, site, address, lag_s=0.0):
        site.count += 1
        self.site, self.address, self.lag_s = site, address, lag_s
        self.servers, self.first_seen = (), {}
        self.seen_at = float("-inf")
        process = f"p{site.count}"
        rng = random.Random(site.count)
        self.keepers = OriginKeepers(address)
        listed = ListedVersions(process, rng, self.rank)
        client = Client(site, address)
        self.lists = VersionLists(
            client, site.clock, listed, self.age, self.age, sleep=lambda seconds: None
        )
        self.journals = OriginJournals(
            client, site.clock, self.lists, process, address, lambda: 100.0, self.rank
        )
        self.journals.note_processes(True)
        self.origins = StreamOrigins(
            site.clock,
            self,
            self.keepers,
            SoftwareVersions(SharedRecords(process, ORIGIN_TOPICS), listed),
            lambda id: next((server for server in self.servers if server.id == id), None),
            self.age,
            self.lists,
            self.journals,
        )
        self.lists._wake = self
        self.lists.set_services([SERVICE])

    def rank(self, key):
        return sum(one.address < self.address for one in self.site.instances)

    def set(self):
        """Make the calls that are due as soon as the task is woken."""
        for _ in range(6):
            if not self.lists.perform_next():
                return

    def subscribe(self, first, handler):
        self.handler = handler

    def send(self, data, address):
        for other in self.site.instances:
            if other.address == address and address not in self.site.unreachable:
                other.handler(data)

    def age(self, now):
        return now - self.seen_at

    def tick(self):
        now = self.site.clock.now
        self.keepers.set_others(one.address for one in self.site.instances)
        if not self.site.store.away:
            self.seen_at = now
            servers = self.site.servers_at(now - self.lag_s)
            if servers != self.servers:
                self.servers = servers
                seen = {server.software for server in servers}
                self.first_seen = {name: self.first_seen.get(name, now) for name in seen}
                self.origins.set_servers(servers)
        self.origins.refresh()
        self.set()
        self.journals._step()

    def usable(self):
        held = self.origins.held_servers(SERVICE)
        alive = self.site.servers_at(self.site.clock.now)
        return [one for one in self.servers if one.id not in held and one in alive]


@attrs.define(eq=False)
class Site:
    """The store, the instances, and the servers that were registered at each time."""

    clock: ManualClock = attrs.field(factory=lambda: ManualClock(1000.0))
    store: Store = attrs.field(factory=Store)
    history: list = attrs.field(factory=lambda: [(0.0, ())])
    instances: list = attrs.field(factory=list)
    unreachable: set = attrs.field(factory=set)
    turned_away: set = attrs.field(factory=set)
    streams: list = attrs.field(factory=list)
    count: int = 0

    def servers_at(self, at):
        return next(servers for since, servers in reversed(self.history) if since <= at)

    def register(self, *versions):
        """Two servers of each version; those that were there before stay."""
        before = {one.software: one for one in self.servers_at(self.clock.now)}
        self.count += 1
        servers = [
            before.get(version)
            or BackendServer(
                f"{version}-{self.count}", SERVICE, "a:1", "d", 4, False, False, 1, False, version
            )
            for version in sorted(versions)
        ]
        self.history.append((self.clock.now, tuple(servers)))

    def start(self, number=1, lag_s=0.0):
        """Start processes at addresses that may have belonged to others before."""
        used = {one.address for one in self.instances}
        free = [address for n in range(9) if (address := f"10.0.0.{n}:1") not in used]
        for address in free[:number]:
            self.instances.append(Instance(self, address, lag_s))
        self.tick_all()

    def tick_all(self, frozen=()):
        for one in [one for n, one in enumerate(self.instances) if n not in frozen]:
            one.tick()

    def pass_time(self, seconds, frozen=()):
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self.tick_all(frozen)

    def begin(self, index=0):
        """Begin a stream at each server that may get one; return the streams."""
        one = self.instances[index % len(self.instances)]
        now, begun = self.clock.now, []
        for chosen in one.usable():
            self.count += 1
            key = origin_key("one", str(self.count))
            one.origins.record(key, chosen)
            # Without the list, what is in sight is served all the same.
            unlisted = chosen.software not in self.store.listed()
            excused = unlisted and not one.lists.is_read(SERVICE)
            begun.append(Stream(key, chosen.software, now, excused))
        self.streams += begun
        return begun

    def resume(self, index=0, streams=None):
        """Take streams up; return how many may go on."""
        one = self.instances[index % len(self.instances)]
        self.streams = [s for s in self.streams if self.clock.now - s.at < LIFETIME_S]
        count = 0
        for stream in self.streams if streams is None else streams:
            origin = one.origins.find(stream.key, SERVICE)
            if origin is None or stream.excused:
                continue
            count += 1
            seen = {server.software for server in one.servers}
            assert ({origin.software} if origin.software else seen) <= {stream.version}
        return count


@attrs.frozen
class Stream:
    """A stream that has begun; `excused` if its version could not be listed."""

    key: str
    version: str
    at: float
    excused: bool


class Losses(RuleBasedStateMachine):
    """No stream goes on at another version than the one that began it."""

    def __init__(self):
        super().__init__()
        set_short_waits(setattr)
        self.site = Site()
        self.site.register("v1")
        self.site.start(3)
        self.site.pass_time(2.0)

    @rule(number=st.integers(1, 3), versions=SOME_VERSIONS, away=st.booleans())
    def all_die(self, number, versions, away):
        """All die while versions come and go; others start, and callers come back."""
        site = self.site
        site.instances.clear()
        if not away:
            site.register(*versions)
        site.store.away = away
        site.start(number)
        site.resume()

    @precondition(lambda self: len(self.site.instances) > 1)
    @rule(index=st.integers(0, 3), returns=st.booleans())
    def one_dies(self, index, returns):
        self.site.instances.pop(index % len(self.site.instances))
        if returns:
            self.site.start()

    @precondition(lambda self: len(self.site.instances) < 4)
    @rule(lag_s=st.sampled_from([0.0, 1.0]))
    def one_starts(self, lag_s):
        self.site.start(1, lag_s)

    @rule(versions=SOME_VERSIONS)
    def roll_out(self, versions):
        self.site.register(*versions)

    @rule(
        seconds=st.sampled_from([0.25, 0.5, 1.0, 2.0, 5.0, 20.0, 100.0]),
        frozen=st.sets(st.integers(0, 3), max_size=1),
    )
    def time_passes(self, seconds, frozen):
        self.site.pass_time(seconds, frozen)

    @rule(away=st.booleans(), lose=st.sampled_from([0, 0, 1, 2]))
    def store_changes(self, away, lose):
        self.site.store.away, self.site.store.lose = away, lose

    @rule(addresses=st.sets(st.integers(0, 3), max_size=2))
    def datagrams_are_lost(self, addresses):
        self.site.unreachable = {f"10.0.0.{n}:1" for n in addresses}

    @rule(addresses=st.sets(st.integers(0, 3), max_size=2))
    def store_turns_away(self, addresses):
        """Calls of some instances are rejected; they see the servers through others."""
        self.site.turned_away = {f"10.0.0.{n}:1" for n in addresses}

    @rule(index=st.integers(0, 3))
    def streams_begin(self, index):
        self.site.begin(index)

    @rule(index=st.integers(0, 3), number=st.integers(0, 30))
    def stream_is_delivered(self, index, number):
        site = self.site
        if number < len(site.streams):
            one = site.instances[index % len(site.instances)]
            one.origins.record_delivered(site.streams[number].key)

    @rule(index=st.integers(0, 3))
    def streams_are_resumed(self, index):
        self.site.resume(index)


Losses.TestCase.settings = settings(max_examples=300, stateful_step_count=30, deadline=None)
TestLosses = Losses.TestCase


@pytest.fixture
def site():
    site = Site()
    site.register("v1")
    return site


def lose_all(site, number=3):
    site.instances.clear()
    site.start(number)
    site.pass_time(3.0)


def test_streams_of_both_versions_go_on_after_the_loss_of_all_instances(site):
    """Guards against origins that are only in the memory of instances."""
    site.register("v1", "v2")
    site.start(3)
    site.pass_time(5.0)
    streams = [stream for n in range(6) for stream in site.begin(n)]
    site.pass_time(MIN_WRITE_INTERVAL_S + TICK_S)
    lose_all(site)
    assert {stream.version for stream in streams} == {"v1", "v2"}
    assert site.resume(0, streams) == len(streams) == 12


@pytest.mark.parametrize("lost_after_s", [0.0, 0.25, 0.5, 0.75, FIRST_LEAVE_S, 2.0, 30.0])
def test_streams_go_on_whenever_all_are_lost_after_a_second_version_comes(site, lost_after_s):
    """Guards against journals that are not written yet when the instances are lost."""
    site.start(3)
    site.pass_time(5.0)
    streams = [stream for n in range(6) for stream in site.begin(n)]
    site.register("v1", "v2")
    site.pass_time(lost_after_s)
    streams += [stream for n in range(6) for stream in site.begin(n)]
    if lost_after_s >= FIRST_LEAVE_S:
        site.pass_time(MIN_WRITE_INTERVAL_S + TICK_S)
    lose_all(site)
    assert site.resume(1, streams) == len(streams) >= 12


@pytest.mark.parametrize("comes_after_s", [0.0, 0.5, 5.0])
def test_streams_go_on_if_a_second_version_comes_after_the_loss_of_all_instances(
    site, comes_after_s
):
    """Guards against refusals of streams that began while one version served."""
    site.start(3)
    site.pass_time(5.0)
    streams = [stream for n in range(6) for stream in site.begin(n)]
    site.instances.clear()
    if not comes_after_s:
        site.register("v1", "v2")
    site.start(3)
    site.pass_time(comes_after_s)
    site.register("v1", "v2")
    site.pass_time(5.0)
    later = site.begin(2)
    assert {stream.version for stream in later} == {"v1", "v2"}
    assert site.resume(0, streams + later) == 8


def test_a_stream_that_no_journal_has_is_refused_once_a_process_with_a_journal_is_lost(site):
    """Guards against taking a stream for one of the base that may have begun at another version."""
    site.start(2)
    site.pass_time(5.0)
    site.register("v1", "v2")
    site.pass_time(5.0)
    of_v1, of_v2 = site.begin(0)
    lose_all(site)
    site.pass_time(5.0)
    assert site.resume(0, [of_v1, of_v2]) == 0
    site.unreachable = {site.instances[1].address}
    assert site.resume(0, [of_v2]) == 0


def test_a_stream_that_its_instance_delivered_is_found_there(site):
    """Guards against a stream whose caller lost the last events and that nobody remembers."""
    site.start(2)
    site.pass_time(5.0)
    site.register("v1", "v2")
    site.pass_time(5.0)
    site.unreachable = {site.instances[1].address}
    streams = site.begin(0)
    for stream in streams:
        site.instances[0].origins.record_delivered(stream.key)
    site.unreachable = set()
    site.pass_time(1.0)
    assert site.resume(1, streams) == len(streams) == 2


def test_a_delivered_stream_is_found_after_the_base_has_returned(site):
    """Guards against a stream that is forgotten since its version served alone for a minute."""
    site.start(2)
    site.pass_time(5.0)
    site.register("v1", "v2")
    site.pass_time(5.0)
    site.register("v2")
    site.pass_time(LIFETIME_S + 5.0)
    (stream,) = site.begin(0)
    site.instances[0].origins.record_delivered(stream.key)
    site.register("v1", "v2")
    site.pass_time(2.0)
    assert site.resume(1, [stream]) == 1


def test_an_instance_without_a_journal_uses_only_the_version_that_was_alone_before(site):
    """Guards against streams that nobody can find, begun while the store is away."""
    site.start(1)
    site.pass_time(5.0)
    site.register("v1", "v2")
    site.tick_all()
    site.store.away = True
    site.pass_time(HOLD_S + 5.0)
    assert {server.software for server in site.instances[0].usable()} == {"v1"}
    site.store.away = False
    site.pass_time(5.0)
    assert {server.software for server in site.instances[0].usable()} == {"v1", "v2"}


def test_an_instance_that_can_not_list_a_version_uses_only_the_listed_one(site):
    """Guards against streams at a version that others list with another base."""
    site.start(2)
    site.pass_time(5.0)
    site.turned_away = {site.instances[0].address}
    site.register("v1", "v2")
    site.pass_time(HOLD_S + 5.0)
    assert {server.software for server in site.instances[0].usable()} == {"v1"}
    assert {server.software for server in site.instances[1].usable()} == {"v1", "v2"}


def test_the_new_version_is_used_at_once_if_the_other_one_has_left(site):
    """Guards against streams that wait for nothing."""
    site.start(1)
    site.pass_time(5.0)
    site.register("v2")
    site.pass_time(2 * TICK_S)
    assert {server.software for server in site.instances[0].usable()} == {"v2"}


def test_one_version_costs_no_journal_and_a_period_few_calls(site):
    """Guards against calls for each stream, and for deployments with one version."""
    site.store.away = False
    site.start(6)
    site.pass_time(5.0)
    before = site.store.writes, site.store.reads
    for n in range(60):
        site.begin(n)
        site.pass_time(TICK_S)
    assert (site.store.writes, site.store.reads) == before
    site.register("v1", "v2")
    site.pass_time(5.0)
    before = site.store.writes
    for n in range(100):
        for _ in range(20):
            site.begin(n)
        site.pass_time(TICK_S)
    assert site.store.writes - before <= 6 + 100
    assert all(len(journal.streams) == 2 for journal in site.store.journals())


def test_journals_are_deleted_after_the_period_also_those_of_lost_processes(site):
    """Guards against objects that nobody removes."""
    site.start(3)
    site.register("v1", "v2")
    site.pass_time(5.0)
    site.begin(0)
    site.pass_time(1.0)
    lose_all(site)
    site.pass_time(5.0)
    assert len(site.store.journals()) == 6
    site.register("v2")
    site.pass_time(REMOVE_AFTER_S + 70.0)
    assert site.store.journals() == []


def test_a_process_of_an_earlier_version_rules_out_conclusions(site):
    """Guards against processes that begin streams without a journal."""
    site.start(2)
    site.pass_time(5.0)
    (first,) = site.begin(0)
    (second,) = site.begin(0)
    lose_all(site)
    site.register("v1", "v2")
    site.pass_time(3.0)
    assert site.resume(0, [first]) == 1
    site.instances[1].journals.note_processes(False)
    assert site.resume(1, [second]) == 0
