"""Quarantine of what crashes backend servers, over all instances.

This answers two loads: prompts with one part that crashes each server that responds to them, and
one request that crashes each server that runs it, sent again and again. Both would end one server
after the other, with all requests that run there. What caused several ends is refused, by all
instances, as long as it comes. This module performs no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import logbook

from hickoryloom.evidence import InstanceRanking, Record, SharedRecords, Topic
from hickoryloom.logs import log_event
from hickoryloom.quarantine.answers import PartAnswers
from hickoryloom.quarantine.cut_off_requests import SAME_END_S, CutOffRequests
from hickoryloom.quarantine.holds import FIRST_TRIAL_S, HOLD_TOPICS, Holds
from hickoryloom.quarantine.request_digest import is_request_key
from hickoryloom.quarantine.suspicion import MAX_PARTS, ServerEnd, find_causes

__all__ = ["QUARANTINE_TOPICS", "Quarantine"]

SUSPICION_S = 120.0
"""Time for which the end of a server makes parts suspect."""

TIED_TRIAL_S = 3.0
"""Time until the first trial of requests that were cut off by just the same servers, all but one of
which may be sound, and of parts of which requests that are causes themselves explain some ends."""

MAX_ENDS = 300
"""Latest ends that are examined, with those that several instances report of one server."""

ENDS = Topic("server-ended", SUSPICION_S)
CUT_OFF = Topic("request-cut-off", SUSPICION_S)
ANSWERS = Topic("part-answered", SUSPICION_S)
QUARANTINE_TOPICS = (CUT_OFF, ENDS, ANSWERS, *HOLD_TOPICS)

MAX_UNANSWERED = 1_000
"""Parts whose next answer is recorded, because a server ended under them."""

MAX_CUT_OFF = 40
"""Requests that one record names of those that a server cut off."""

MAX_OWN_REPORTS = 200
"""Latest records of cut-off requests that this instance may extend."""

MS_PER_S = 1000.0
MAX_RAN_DIGITS = 9
RESPONDING = "responding"
QUEUED = "queued"

log = logbook.Logger("hickoryloom.quarantine")


class Quarantine:
    """Decides whether a request may be sent, from the ends and answers that all instances saw.

    Keys name what may be held back: parts of the prompt, as `part_keys` returns them, and the
    request itself, as `request_key` does.

    Args:
        instance: Name of this instance.
        records: Records shared with the other instances.
        ranking: Decides which instance makes a trial.
    """

    def __init__(self, instance: str, records: SharedRecords, ranking: InstanceRanking) -> None:
        self._instance = instance
        self._records = records
        self._holds = Holds(records, ranking)
        self._ends: dict[str, ServerEnd] = {}
        self._answers = PartAnswers(SUSPICION_S)
        self._examine_parts_at = float("inf")
        self._unanswered: OrderedDict[str, float] = OrderedDict()
        self._new_ends: list[ServerEnd] = []
        self._cut_off = CutOffRequests(SUSPICION_S)
        self._new_cut_offs: list[tuple[str, float]] = []
        self._own_reports: OrderedDict[str, tuple[float, dict[str, float]]] = OrderedDict()
        records.subscribe(CUT_OFF, self._on_cut_off)
        records.subscribe(ENDS, self._on_end)
        records.subscribe(ANSWERS, self._on_answer)

    @property
    def parts(self) -> int:
        """Number of parts that are in quarantine, or were in the last hours."""
        return len(self._holds.keys) - self.requests

    @property
    def requests(self) -> int:
        """Number of requests that are in quarantine, or were in the last hours."""
        return sum(is_request_key(key) for key in self._holds.keys)

    @property
    def watches_requests(self) -> bool:
        """Whether the keys of requests matter now: some were cut off lately or are held back."""
        return bool(self._cut_off) or self.requests > 0

    def wait_s(self, keys: Sequence[str], now: float) -> float:
        """Return the seconds for which a request with these keys must not be sent; 0 if it may."""
        self._examine(now)
        return max((self._holds.wait_s(key, now) for key in keys), default=0.0)

    def record_refused(self, keys: Sequence[str], now: float) -> None:
        """Record that a request was refused, which prolongs the quarantine of its keys."""
        for key in keys:
            self._holds.prolong(key, now)

    def record_sent(self, keys: Sequence[str], now: float) -> None:
        """Record that a request is sent; for a key in quarantine, this is a trial."""
        for key in keys:
            self._holds.record_sent(key, now)

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
        value = " ".join([RESPONDING if responding else QUEUED, _ran_ms(now, sent_at), *ids])
        self._records.put(ENDS, key, value, now)

    def record_cut_off(self, server: str, request: str, sent_at: float, now: float) -> None:
        """Record that a server cut off a request, whether or not it had begun to respond.

        Args:
            server: Identifies the server and its start.
            request: Key of the request.
            sent_at: Monotonic time at which the request was sent, in seconds.
            now: Monotonic time in seconds.
        """
        service, _, id = request.partition("/")
        key = f"{service}|{server}|{self._instance}"
        at, cut_off = self._own_reports.get(key, (now, {}))
        if now - at >= SAME_END_S:
            at, cut_off = now, {}
        cut_off[id] = min(sent_at, cut_off.get(id, sent_at))
        self._own_reports[key] = (at, cut_off)
        if len(self._own_reports) > MAX_OWN_REPORTS:
            self._own_reports.popitem(last=False)
        latest = list(cut_off.items())[-MAX_CUT_OFF:]
        value = " ".join(f"{id}:{_ran_ms(at, sent)}" for id, sent in latest)
        self._records.put(CUT_OFF, key, value, at)

    def record_answer(self, keys: Sequence[str], now: float) -> None:
        """Record that a server has responded to a request with these keys and did not end."""
        self._examine(now)
        for key in keys:
            is_common = not is_request_key(key) and self._answers.add(key, now)
            is_awaited = key in self._unanswered or key in self._holds
            if is_common or is_awaited or self._cut_off.is_suspect(key):
                self._records.put(ANSWERS, key, "", now)

    def _examine(self, now: float) -> None:
        """Look for causes among the ends, if there are new ones."""
        self._cut_off.expire(now)
        if self._new_cut_offs:
            self._examine_requests(now)
        if self._new_ends or now >= self._examine_parts_at:
            self._examine_parts(now)

    def _examine_requests(self, now: float) -> None:
        new_cut_offs, self._new_cut_offs = self._new_cut_offs, []
        for request, tied in self._cut_off.find(now).items():
            if request not in self._holds:
                self._holds.begin(request, now, TIED_TRIAL_S if tied else FIRST_TRIAL_S)
        for request in {key for key, at in new_cut_offs if self._holds.has_returned(key, at, now)}:
            self._holds.begin(request, now)

    def _examine_parts(self, now: float) -> None:
        new_ends, self._new_ends = self._new_ends, []
        self._examine_parts_at = float("inf")
        recent = [(key, end) for key, end in self._ends.items() if now - end.at < SUSPICION_S]
        self._ends = dict(recent[-MAX_ENDS:])
        answered = self._answers.last(now)
        for answer in self._records.live(ANSWERS, now):
            answered[answer.key] = max(answer.at, answered.get(answer.key, answer.at))
        ends = self._ends.values()
        causes = find_causes(ends, answered, self._cut_off.ended_servers())
        for part, cause in causes.items():
            if part in self._holds:
                continue
            if now < cause.from_at:
                self._examine_parts_at = min(self._examine_parts_at, cause.from_at)
                continue
            self._holds.begin(part, now, TIED_TRIAL_S if cause.doubtful else FIRST_TRIAL_S)
        for part in {part for end in new_ends for part in end.parts}:
            if any(
                part in end.parts and self._holds.has_returned(part, end.at, now)
                for end in new_ends
            ):
                self._holds.begin(part, now)

    def _await_answer(self, part: str, ended_at: float) -> None:
        """Have the next answer to a part recorded, since it may acquit the part."""
        self._unanswered[part] = max(ended_at, self._unanswered.get(part, ended_at))
        self._unanswered.move_to_end(part)
        if len(self._unanswered) > MAX_UNANSWERED:
            self._unanswered.popitem(last=False)

    def _on_cut_off(self, record: Record) -> None:
        service, _, rest = record.key.partition("|")
        server, _, _ = rest.rpartition("|")
        for item in record.value.split(" "):
            id, _, ran_ms = item.partition(":")
            if not server or not id or not ran_ms.isdecimal():
                log_event(log, "evidence-unreadable", topic=record.topic, key=record.key)
                return
            request = f"{service}/{id}"
            answer = self._records.get(ANSWERS, request, record.at)
            if answer is None or answer.at < record.at:
                sent_at = record.at - _read_ms(ran_ms)
                self._cut_off.add(request, f"{service}|{server}", record.at, sent_at)
                self._new_cut_offs.append((request, record.at))
            # Only an answer after this end acquits the request.
            self._records.renew(ANSWERS, request, record.at)

    def _on_end(self, record: Record) -> None:
        service, _, rest = record.key.partition("|")
        server, _, _ = rest.rpartition("|")
        state, _, listed = record.value.partition(" ")
        ran_ms, *ids = listed.split(" ")
        if not server or state not in (RESPONDING, QUEUED) or not ran_ms.isdecimal():
            log_event(log, "evidence-unreadable", topic=record.topic, key=record.key)
            return
        parts = frozenset(f"{service}/{id}" for id in ids)
        sent_at = record.at - _read_ms(ran_ms)
        end = ServerEnd(f"{service}|{server}", record.at, sent_at, state == RESPONDING, parts)
        self._ends[record.key] = end
        self._new_ends.append(end)
        for part in parts:
            self._await_answer(part, record.at)
            # Only an answer after this end acquits the part.
            self._records.renew(ANSWERS, part, record.at)
            self._tell_of_answer(part, record.at)

    def _tell_of_answer(self, part: str, now: float) -> None:
        """Tell the other instances of an earlier answer to a part if none of them has."""
        at = self._answers.last_to(part, now)
        if at is not None and self._records.get(ANSWERS, part, now) is None:
            self._records.put(ANSWERS, part, "", at)

    def _on_answer(self, record: Record) -> None:
        if record.at > self._unanswered.get(record.key, float("inf")):
            del self._unanswered[record.key]
        self._cut_off.acquit(record.key, record.at)
        if record.key in self._holds and self._is_later_than_an_end(record.key, record.at):
            self._holds.release(record.key, record.at)

    def _is_later_than_an_end(self, key: str, at: float) -> bool:
        """Return whether an answer to a key tells anything about the ends that it is held for.

        Instances also tell of answers that they got before a part crashed the first server.
        """
        ends = [end.at for end in self._ends.values() if key in end.parts]
        return not ends or at > min(ends)


def _ran_ms(at: float, sent_at: float) -> str:
    return str(max(0, int((at - sent_at) * MS_PER_S)))


def _read_ms(value: str) -> float:
    return int(value[:MAX_RAN_DIGITS]) / MS_PER_S
