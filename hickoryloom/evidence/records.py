"""The records that one process holds, merged with those of other instances.

Each record is an observation with a time. All instances end up with the latest one of each key,
whatever the order in which records arrive, and however often. This module performs no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from hashlib import blake2b

import attrs

from hickoryloom.evidence.messages import Record, Topic

__all__ = ["SharedRecords"]

MAX_RECORDS_PER_TOPIC = 1_000
MAX_KEY_CHARS = 300
MAX_VALUE_CHARS = 700

REFRESH_S = 1.0
"""Interval at which an unchanged observation is recorded again, unless it was renewed."""

SAME_TIME_S = 0.1
"""Difference up to which two times count as equal: ages lose the time that datagrams are under
way and that a busy process leaves them unread."""

Listener = Callable[[Record], None]


class SharedRecords:
    """Records by topic and key, bounded in number and lifetime.

    Args:
        process: Unique key of this process.
        topics: The topics; records of others are dropped.
    """

    def __init__(self, process: str, topics: Iterable[Topic]) -> None:
        self._process = process
        self._topics = {topic.name: topic for topic in topics}
        self._records: dict[str, OrderedDict[str, Record]] = {
            name: OrderedDict() for name in self._topics
        }
        self._listeners: dict[str, list[Listener]] = {name: [] for name in self._topics}
        self._changes: dict[tuple[str, str], Record] = {}
        self._passed_on: dict[tuple[str, str], Record] = {}
        self._unrecorded: dict[tuple[str, str], Record] = {}
        self._number = 0
        self.on_change: Listener | None = None

    def subscribe(self, topic: Topic, listener: Listener) -> None:
        """Call `listener` with each new record of a topic, from this and from other instances."""
        self._listeners[topic.name].append(listener)

    def put(self, topic: Topic, key: str, value: str, now: float) -> None:
        """Record an observation of this instance, unless it tells the others nothing new."""
        self._number += 1
        record = Record(topic.name, key, value, f"{self._process}.{self._number:08d}", now)
        if self._is_news(record):
            self._store(record)
        else:
            self._unrecorded[topic.name, key] = record

    def renew(self, topic: Topic, key: str, after: float) -> None:
        """Pass observations of a key on again, though their value may be unchanged.

        Call it when their time matters, because of an event that only a later one outweighs.

        Args:
            topic: Topic of the observations.
            key: Their key.
            after: Monotonic time of the event, in seconds.
        """
        last = self._passed_on.pop((topic.name, key), None)
        unrecorded = self._unrecorded.pop((topic.name, key), None)
        known = self._records[topic.name].get(key)
        if (
            unrecorded is not None
            and unrecorded.at > after
            and (known is None or _is_later(unrecorded, known))
        ):
            self._store(unrecorded)
            return
        if known is not None and known.at > after and (last is None or known.id != last.id):
            self._pass_on(known)

    def merge(self, records: Iterable[Record], now: float) -> None:
        """Merge records of another instance, with times on the clock of this process."""
        for record in records:
            topic = self._topics.get(record.topic)
            if topic is None or now - record.at >= topic.lifetime_s:
                continue
            if len(record.key) > MAX_KEY_CHARS or len(record.value) > MAX_VALUE_CHARS:
                continue
            known = self._records[record.topic].get(record.key)
            if known is None or _is_later(record, known):
                self._store(attrs.evolve(record, at=min(record.at, now)))

    def get(self, topic: Topic, key: str, now: float) -> Record | None:
        """Return the live record of a key, if there is one."""
        record = self._records[topic.name].get(key)
        if record is None or now - record.at >= topic.lifetime_s:
            return None
        return record

    def live(self, topic: Topic, now: float) -> list[Record]:
        """Return the live records of a topic, and drop the others."""
        records = self._records[topic.name]
        for key in [key for key, record in records.items() if now - record.at >= topic.lifetime_s]:
            del records[key]
            self._forget(topic.name, key)
        return list(records.values())

    def count(self, topic: Topic) -> int:
        """Return the number of records of a topic, some of which may have expired."""
        return len(self._records[topic.name])

    def all(self, now: float) -> list[Record]:
        """Return all live records."""
        return [record for topic in self._topics.values() for record in self.live(topic, now)]

    def digest(self, now: float) -> str:
        """Return a digest of all live records, without their times; empty for none."""
        lines = sorted(f"{item.topic}\n{item.key}\n{item.value}" for item in self.all(now))
        return blake2b("\n".join(lines).encode(), digest_size=8).hexdigest() if lines else ""

    def latest(self, number: int, now: float) -> list[Record]:
        """Return up to `number` live records, those with the latest observations."""
        return sorted(self.all(now), key=lambda record: record.at)[-number:]

    def take_changes(self) -> list[Record]:
        """Return the records that are new since the last call."""
        changes = list(self._changes.values())
        self._changes.clear()
        return changes

    def is_own(self, record: Record) -> bool:
        """Return whether this process made the observation."""
        return record.id.startswith(f"{self._process}.")

    def _is_news(self, record: Record) -> bool:
        """Return whether others need a record: many instances may observe the same at once."""
        last = self._passed_on.get((record.topic, record.key))
        return last is None or record.value != last.value or record.at - last.at >= REFRESH_S

    def _store(self, record: Record) -> None:
        records = self._records[record.topic]
        records[record.key] = record
        records.move_to_end(record.key)
        if len(records) > MAX_RECORDS_PER_TOPIC:
            oldest, _ = records.popitem(last=False)
            self._forget(record.topic, oldest)
        is_news = self._is_news(record)
        for listener in self._listeners[record.topic]:
            listener(record)
        if is_news:
            self._pass_on(record)

    def _pass_on(self, record: Record) -> None:
        self._passed_on[record.topic, record.key] = record
        self._changes[record.topic, record.key] = record
        if self.on_change is not None:
            self.on_change(record)

    def _forget(self, topic: str, key: str) -> None:
        self._passed_on.pop((topic, key), None)
        self._unrecorded.pop((topic, key), None)


def _is_later(record: Record, known: Record) -> bool:
    if record.id == known.id:
        return False
    if abs(record.at - known.at) <= SAME_TIME_S:
        return record.id > known.id
    return record.at > known.at
