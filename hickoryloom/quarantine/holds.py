"""What is held back at all instances, until when, and who tries whether it may be sent again.

Keys name what is held back: a part of prompts, or one request. This module performs no I/O.
"""

from __future__ import annotations

import logbook

from hickoryloom.evidence import InstanceRanking, Record, SharedRecords, Topic
from hickoryloom.logs import log_event

__all__ = ["HOLD_TOPICS", "Holds"]

QUIET_S = 60.0
"""Time without anything with a key after which its first hold ends; doubled each time."""

MAX_QUIET_DOUBLINGS = 6
MEMORY_S = 7_200.0
"""Time for which a key that was held back is held back again after a single end."""

FIRST_TRIAL_S = 20.0
"""Time in a hold after which one request is sent to a server to see whether it still ends."""

TRIAL_FACTOR = 10.0
"""Factor by which the time to the next trial grows: each may end a server."""

TRIAL_TAKEOVER_S = 5.0
"""Time after which the next instance may make a trial that is due, because the one before it has
nothing to try."""

MAX_TRIALS = 9
RELEASED = "0"

QUARANTINES = Topic("part-quarantined", MEMORY_S)
TRIALS = Topic("part-tried", MEMORY_S)
HOLD_TOPICS = (QUARANTINES, TRIALS)

log = logbook.Logger("hickoryloom.quarantine")


class Holds:
    """Keys that are held back, or were in the last hours.

    Args:
        records: Records shared with the other instances.
        ranking: Decides which instance makes a trial.
    """

    def __init__(self, records: SharedRecords, ranking: InstanceRanking) -> None:
        self._records = records
        self._ranking = ranking
        self._levels: dict[str, int] = {}
        records.subscribe(QUARANTINES, self._on_quarantine)

    def __contains__(self, key: str) -> bool:
        return key in self._levels

    @property
    def keys(self) -> tuple[str, ...]:
        """All keys that are held back, or were in the last hours."""
        return tuple(self._levels)

    def wait_s(self, key: str, now: float) -> float:
        """Return the seconds until the hold of a key ends or this instance may try it."""
        left_s = self._left_s(key, now)
        return min(left_s, self._trial_wait_s(key, now)) if left_s else 0.0

    def prolong(self, key: str, now: float) -> None:
        """Record that something with a key came, which prolongs its hold if there is one."""
        if self._left_s(key, now):
            self._records.put(QUARANTINES, key, str(self._levels[key]), now)

    def record_sent(self, key: str, now: float) -> None:
        """Record that something with a key is sent to a server, which is a trial if it is held."""
        if not self._left_s(key, now):
            return
        number = self._trials(key, now) + 1
        log_event(log, "part-tried", part=key, trial=number)
        self._records.put(TRIALS, key, str(number), now)
        self._records.put(QUARANTINES, key, str(self._levels[key]), now)

    def begin(self, key: str, now: float, trial_s: float = FIRST_TRIAL_S) -> None:
        """Hold a key back.

        Args:
            key: The key.
            now: Monotonic time in seconds.
            trial_s: Seconds until the first trial.
        """
        level = self._levels.get(key, 0) + 1
        log_event(log, "part-quarantined", part=key, level=level)
        self._records.put(QUARANTINES, key, str(level), now)
        trials = self._trials(key, now)
        earlier_s = 0.0 if trials else FIRST_TRIAL_S - trial_s
        self._records.put(TRIALS, key, str(trials), now - earlier_s)

    def has_returned(self, key: str, at: float, now: float) -> bool:
        """Return whether a server ended under a key after its hold was over."""
        if key not in self._levels:
            return False
        record = self._records.get(QUARANTINES, key, now)
        return record is not None and at > record.at + self._quiet_s(key)

    def release(self, key: str, at: float) -> None:
        """End the hold of a key because it was answered at monotonic time `at`."""
        record = self._records.get(QUARANTINES, key, at)
        if record is not None and key in self._levels:
            log_event(log, "part-released", part=key)
            # Not earlier than what it replaces, which may have been prolonged meanwhile.
            self._records.put(QUARANTINES, key, RELEASED, max(at, record.at))

    def _left_s(self, key: str, now: float) -> float:
        """Return the seconds that are left of a key's hold, if nothing more comes."""
        if key not in self._levels:
            return 0.0
        record = self._records.get(QUARANTINES, key, now)
        if record is None:
            del self._levels[key]
            return 0.0
        return max(0.0, record.at + self._quiet_s(key) - now)

    def _trial_wait_s(self, key: str, now: float) -> float:
        """Return the seconds until this instance may make a trial."""
        last = self._records.get(TRIALS, key, now)
        rank = self._ranking.rank(key)
        if last is None or rank is None:
            return FIRST_TRIAL_S
        due_s = FIRST_TRIAL_S * TRIAL_FACTOR ** self._trials(key, now)
        return max(0.0, last.at + due_s + rank * TRIAL_TAKEOVER_S - now)

    def _trials(self, key: str, now: float) -> int:
        last = self._records.get(TRIALS, key, now)
        return min(MAX_TRIALS, _read_count(last.value)) if last is not None else 0

    def _quiet_s(self, key: str) -> float:
        return QUIET_S * 2.0 ** min(self._levels[key] - 1, MAX_QUIET_DOUBLINGS)

    def _on_quarantine(self, record: Record) -> None:
        level = _read_count(record.value)
        if level:
            self._levels[record.key] = level
        else:
            self._levels.pop(record.key, None)


def _read_count(value: str) -> int:
    return int(value) if value.isdecimal() and len(value) < 4 else 0
