"""Quarantine of prompt parts under which backend servers crash, over all instances.

This answers the load of prompts that crash each server that responds to them: they would end one
server after the other, with all requests that run there. Prompts with a part that caused several
ends are refused, by all instances, as long as such prompts come. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Sequence

import logbook

from hickoryloom.evidence import InstanceRanking, Record, SharedRecords, Topic
from hickoryloom.logs import log_event
from hickoryloom.quarantine.holds import HOLD_TOPICS, Holds
from hickoryloom.quarantine.suspicion import MAX_PARTS, ServerEnd, find_causes, find_suspects

__all__ = ["QUARANTINE_TOPICS", "Quarantine"]

SUSPICION_S = 120.0
"""Time for which the end of a server makes parts suspect."""

MAX_ENDS = 300
"""Latest ends that are examined, with those that several instances report of one server."""

ENDS = Topic("server-ended", SUSPICION_S)
ANSWERS = Topic("part-answered", SUSPICION_S)
QUARANTINE_TOPICS = (ENDS, ANSWERS, *HOLD_TOPICS)

MS_PER_S = 1000.0
MAX_RAN_DIGITS = 9
RESPONDING = "responding"
QUEUED = "queued"

log = logbook.Logger("hickoryloom.quarantine")


class Quarantine:
    """Decides whether a prompt may be sent, from the ends and answers that all instances saw.

    Parts are named by the keys that `part_keys` returns.

    Args:
        instance: Name of this instance.
        records: Records shared with the other instances.
        ranking: Decides which instance makes a trial.
    """

    def __init__(self, instance: str, records: SharedRecords, ranking: InstanceRanking) -> None:
        self._instance = instance
        self._records = records
        self._holds = Holds(records, ranking)
        self._suspects: frozenset[str] = frozenset()
        self._ends: dict[str, ServerEnd] = {}
        self._new_ends: list[ServerEnd] = []
        records.subscribe(ENDS, self._on_end)
        records.subscribe(ANSWERS, self._on_answer)

    @property
    def parts(self) -> int:
        """Number of parts that are in quarantine, or were in the last hours."""
        return len(self._holds.keys)

    def wait_s(self, parts: Sequence[str], now: float) -> float:
        """Return the seconds for which a prompt with these parts must not be sent; 0 if it may."""
        self._examine(now)
        return max((self._holds.wait_s(part, now) for part in parts), default=0.0)

    def record_refused(self, parts: Sequence[str], now: float) -> None:
        """Record that a prompt was refused, which prolongs the quarantine of its parts."""
        for part in parts:
            self._holds.prolong(part, now)

    def record_sent(self, parts: Sequence[str], now: float) -> None:
        """Record that a prompt is sent; for a part in quarantine, this is a trial."""
        for part in parts:
            self._holds.record_sent(part, now)

    def record_end(
        self, server: str, parts: Sequence[str], responding: bool, sent_at: float, now: float
    ) -> None:
        """Record that a server cut off a prompt before it had sent an event of its response.

        Args:
            server: Identifies the server and its start.
            parts: Parts of the prompt that other prompts may share.
            responding: Whether the server had begun to respond.
            sent_at: Monotonic time at which the prompt was sent, in seconds.
            now: Monotonic time in seconds.
        """
        if not parts:
            return
        service = parts[0].partition("/")[0]
        key = f"{service}|{server}|{self._instance}"
        cut_off = dict.fromkeys(parts)
        known = self._ends.get(key)
        if known is not None:
            if known.responding and not responding:
                return
            if known.responding == responding:
                cut_off.update(dict.fromkeys(sorted(known.parts)))
            now = known.at
            sent_at = max(sent_at, known.sent_at)
        ids = [part.partition("/")[2] for part in list(cut_off)[:MAX_PARTS]]
        ran_ms = str(max(0, int((now - sent_at) * MS_PER_S)))
        value = " ".join([RESPONDING if responding else QUEUED, ran_ms, *ids])
        self._records.put(ENDS, key, value, now)

    def record_answer(self, parts: Sequence[str], now: float) -> None:
        """Record that a server has responded to a prompt and did not end."""
        self._examine(now)
        for part in parts:
            if part in self._suspects or part in self._holds:
                self._records.put(ANSWERS, part, "", now)

    def _examine(self, now: float) -> None:
        """Look for causes among the ends, if there are new ones."""
        if not self._new_ends:
            return
        new_ends, self._new_ends = self._new_ends, []
        recent = [(key, end) for key, end in self._ends.items() if now - end.at < SUSPICION_S]
        self._ends = dict(recent[-MAX_ENDS:])
        answered = {answer.key: answer.at for answer in self._records.live(ANSWERS, now)}
        ends = self._ends.values()
        self._suspects = find_suspects(ends, answered)
        found = {part for part in find_causes(ends, answered) if part not in self._holds}
        found.update(
            part
            for end in new_ends
            for part in end.parts
            if self._holds.has_returned(part, end.at, now)
        )
        for part in found:
            self._holds.begin(part, now)

    def _on_end(self, record: Record) -> None:
        service, _, rest = record.key.partition("|")
        server, _, _ = rest.rpartition("|")
        state, _, listed = record.value.partition(" ")
        ran_ms, *ids = listed.split(" ")
        if not server or state not in (RESPONDING, QUEUED) or not ran_ms.isdecimal():
            log_event(log, "evidence-unreadable", topic=record.topic, key=record.key)
            return
        parts = frozenset(f"{service}/{id}" for id in ids)
        sent_at = record.at - int(ran_ms[:MAX_RAN_DIGITS]) / MS_PER_S
        end = ServerEnd(f"{service}|{server}", record.at, sent_at, state == RESPONDING, parts)
        self._ends[record.key] = end
        self._new_ends.append(end)
        for part in parts:
            # Only an answer after this end acquits the part.
            self._records.renew(ANSWERS, part, record.at)

    def _on_answer(self, record: Record) -> None:
        self._suspects -= {record.key}
        self._holds.release(record.key, record.at)
