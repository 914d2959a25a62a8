"""The software versions that a service had lately, as listed in the store.

Addresses the loss of all instances at once: what instances know of versions that have left is gone
then, and only the store can tell a new process that a stream may have begun at one of them.

A version is listed before a server of it gets its first resumable stream. An instance removes it
once it has itself seen no server of it for longer than any stream lives.

This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any

import attrs

from hickoryloom.discovery import BackendServer
from hickoryloom.origins.periods import Period, next_period, read_period, write_period

__all__ = ["ListedVersions", "ReadList", "WriteList", "list_key", "listed_names"]

LISTS_PREFIX = "stream-versions/"

LIFETIME_S = 60.0
"""Time after its first event within which a stream may be taken up, longer than any lasts."""

REMOVE_AFTER_S = 90.0
"""Time without a server after which a version is removed from the list: the lifetime of a stream,
and the age that another instance's view may have when it begins one."""

REMOVE_SPREAD_S = (10.0, 60.0)
"""Further delay at instances other than the first in rank, which need not act if it does."""

WRITE_SPREAD_S = (0.1, 0.4)
"""Delay at instances other than the first in rank before they list a version: some store calls
long, and short beside the latency targets of streams."""

REREAD_SPREAD_S = 1.0
"""Time over which instances spread the reads after a return of the store."""

RETRY_S = (0.2, 0.5)
"""Range of the pause after a failed call."""

HOLD_S = 1.5
"""Longest time for which servers of an unlisted version get no resumable stream while no listed
version is known: one call without an answer and a second try."""

GAP_S = 5.0
"""Age of the view, or pause of this process, from which a version may have come and gone unseen."""

MAX_LISTED = 64
"""Versions in one list. Beyond that the service counts as mixed whatever else is listed."""

MAX_VERSION_CHARS = 100


@attrs.frozen
class ReadList:
    """Read the list of a service."""

    service: str


@attrs.frozen
class WriteList:
    """Write the list of a service.

    Attributes:
        service: The service.
        value: The object's new value.
        if_version: Version that the object must have; 0 if it must not exist.
        decided_at: Monotonic time of the decision, in seconds.
    """

    service: str
    value: dict[str, Any]
    if_version: int
    decided_at: float


Action = ReadList | WriteList


def list_key(service: str) -> str:
    """Return the key of the object with the list of a service."""
    return f"{LISTS_PREFIX}{service}"


def listed_names(value: Any) -> frozenset[str] | None:
    """Return the versions in an object's value; None if it is not a list of versions."""
    versions = value.get("versions") if isinstance(value, dict) else None
    return frozenset(versions) if isinstance(versions, dict) else None


@attrs.define
class _List:
    """What this instance knows of the list of one service; times are monotonic, in seconds.

    Attributes:
        present: Versions that have servers now.
        first_seen: Time at which each present version that is not listed was first seen.
        last_seen: Time at which each listed version was last seen, or learned from the list.
        kept_at: Time at which each listed version was last known to be both present and listed.
            Until `REMOVE_AFTER_S` later no instance removes it; one that was only learned from the
            list may be removed at any time.
        stored: Versions in the object as it was read or written last; None before that.
        restore: Versions that a store returned from an older copy has lost.
        value: Value of the object.
        version: Version of the object; 0 if it does not exist.
        era: Era of the store in which it was read or written.
        read_at: Time at which the last successful call was sent.
        asked_at: Time since when a read is wanted.
        due_at: Time before which a wanted read is not sent.
        retry_at: Time before which no call is sent after a failed one.
        failing: Whether the last call failed.
        write_at: Time from which this instance may write versions that are missing.
        remove_at: Time from which it may remove versions.
    """

    present: frozenset[str] = frozenset()
    first_seen: dict[str, float] = attrs.field(factory=dict)
    last_seen: dict[str, float] = attrs.field(factory=dict)
    kept_at: dict[str, float] = attrs.field(factory=dict)
    stored: frozenset[str] | None = None
    restore: frozenset[str] = frozenset()
    value: dict[str, Any] = attrs.field(factory=dict)
    version: int = 0
    era: int = 0
    read_at: float | None = None
    asked_at: float | None = None
    due_at: float = 0.0
    retry_at: float = 0.0
    failing: bool = False
    write_at: float | None = None
    remove_at: float | None = None


class ListedVersions:
    """Decides when lists are read and written, and which versions must wait.

    Args:
        writer: Name of this process, which makes its writes differ from those of others.
        rng: Source of the delays that spread the calls of several instances.
        rank: Returns the rank of this instance for a key, from 0; None while it is not known.
    """

    def __init__(self, writer: str, rng: Random, rank: Callable[[str], int | None]) -> None:
        self._writer = writer
        self._rng = rng
        self._rank = rank
        self._writes = 0
        self._lists: dict[str, _List] = {}
        self._present: dict[str, frozenset[str]] = {}
        self._refreshed_at: float | None = None
        self._out_of_touch = False
        self._gap_at = float("-inf")
        self._complete_since = float("inf")
        self._reported: set[tuple[str, str]] = set()

    @property
    def services(self) -> frozenset[str]:
        """Services whose lists are kept."""
        return frozenset(self._lists)

    def set_services(self, services: Iterable[str], now: float) -> None:
        """Replace the services whose lists are kept."""
        wanted = frozenset(services)
        self._lists = {name: kept for name, kept in self._lists.items() if name in wanted}
        for service in wanted - frozenset(self._lists):
            self._lists[service] = _List()
            self._set_present(service, self._present.get(service, frozenset()), now)

    def observe(self, servers: Iterable[BackendServer], now: float) -> None:
        """Apply the list of live backend servers."""
        present: dict[str, set[str]] = {}
        for server in servers:
            present.setdefault(server.service, set()).add(server.software[:MAX_VERSION_CHARS])
        self._present = {service: frozenset(names) for service, names in present.items()}
        for service in self._lists:
            self._set_present(service, self._present.get(service, frozenset()), now)

    def refresh(self, now: float, view_age_s: float, registrations_age_s: float) -> None:
        """Record that the present versions are still there, and whether this instance sees all.

        Args:
            now: Monotonic time in seconds.
            view_age_s: Age of this instance's view, in seconds.
            registrations_age_s: Age of the registrations as this instance read them itself.
        """
        paused = self._refreshed_at is not None and now - self._refreshed_at > GAP_S
        self._refreshed_at = now
        was_out, self._out_of_touch = self._out_of_touch, view_age_s > GAP_S
        if paused or self._out_of_touch:
            self._gap_at = now
        if (paused or was_out) and not self._out_of_touch:
            for kept in self._lists.values():
                if kept.read_at is not None:
                    kept.due_at = now + self._rng.uniform(0.0, REREAD_SPREAD_S)
        if registrations_age_s > GAP_S:
            self._complete_since = float("inf")
        elif paused or self._complete_since > now:
            self._complete_since = now
        if not self._out_of_touch:
            for kept in self._lists.values():
                self._record_present(kept, now)

    def is_overdue(self, now: float) -> bool:
        """Return whether the process has paused for so long that `refresh` must come first."""
        return self._refreshed_at is not None and now - self._refreshed_at > GAP_S

    def versions(self, service: str, now: float) -> frozenset[str]:
        """Return the listed versions at which streams of a service may have begun."""
        kept = self._lists.get(service)
        if kept is None:
            return frozenset()
        return frozenset(name for name, at in kept.last_seen.items() if now - at < LIFETIME_S)

    def held(self, service: str, now: float) -> frozenset[str]:
        """Return the versions whose servers must not get a resumable stream yet."""
        kept = self._lists.get(service)
        if kept is None or not kept.first_seen or len(kept.stored or ()) >= MAX_LISTED:
            return frozenset()
        if kept.stored:
            # Its streams could be taken for streams of the listed versions.
            return frozenset(kept.first_seen)
        return frozenset(name for name, at in kept.first_seen.items() if now - at < HOLD_S)

    def period(self, service: str) -> Period | None:
        """Return the period of a service; None while less than two versions are listed."""
        kept = self._lists.get(service)
        if kept is None or kept.stored is None:
            return None
        return read_period(kept.value, listed_names(kept.value) or frozenset(), kept.era)

    def is_read(self, service: str) -> bool:
        """Return whether the list of a service was read or written."""
        kept = self._lists.get(service)
        return kept is not None and kept.stored is not None

    def list_version(self, service: str) -> int:
        """Return the known version of the object with the list of a service; 0 for none."""
        kept = self._lists.get(service)
        return kept.version if kept is not None else 0

    def present(self, service: str) -> frozenset[str]:
        """Return the versions of a service that have servers now."""
        return self._present.get(service, frozenset())

    def take_expired_holds(self, now: float) -> list[tuple[str, str]]:
        """Return the services and versions whose hold has ended before they were listed, once."""
        expired = {
            (service, name)
            for service, kept in self._lists.items()
            for name, at in kept.first_seen.items()
            if now - at >= HOLD_S and not kept.stored
        }
        new, self._reported = expired - self._reported, expired
        return sorted(new)

    def is_known(self, service: str) -> bool:
        """Return whether the list was read since this instance may have missed a version."""
        kept = self._lists.get(service)
        return kept is None or (kept.read_at is not None and kept.read_at >= self._gap_at)

    def is_confirmed(self, service: str, since: float) -> bool:
        """Return whether the list is known as of a monotonic time."""
        kept = self._lists.get(service)
        return kept is None or (kept.read_at is not None and kept.read_at >= since)

    def is_failing(self, service: str) -> bool:
        """Return whether the last call for the list of a service failed."""
        kept = self._lists.get(service)
        return kept is not None and kept.failing

    def ask(self, service: str, now: float) -> None:
        """Have the list of a service read soon."""
        kept = self._lists[service]
        kept.asked_at, kept.due_at = now, now

    def next_action(self, now: float, era: int) -> Action | None:
        """Return the next call to make, given the known era of the store; None for none now."""
        for service, kept in self._lists.items():
            if now < kept.retry_at:
                continue
            if kept.stored is not None and era > kept.era:
                self._ask_after_return(kept, era, now)
            if self._wants_read(kept):
                if now >= kept.due_at:
                    return ReadList(service)
                continue
            action = self._write(service, kept, now)
            if action is not None:
                return action
        return None

    def wait_s(self, now: float, limit_s: float) -> float:
        """Return the seconds until the next call may be due, at most `limit_s`."""
        times = [now + limit_s]
        for kept in self._lists.values():
            at = [kept.retry_at]
            if self._wants_read(kept):
                at.append(kept.due_at)
            elif kept.write_at is not None:
                at.append(kept.write_at)
            elif kept.remove_at is not None:
                at.append(kept.remove_at)
            if max(at) > now:
                times.append(max(at))
        return min(times) - now

    def on_read(
        self, service: str, value: Any, version: int, era: int, sent_at: float, now: float
    ) -> None:
        """Apply a read.

        Args:
            service: The service.
            value: Value of the object; None if it does not exist.
            version: Version of the object; 0 if it does not exist.
            era: Era of the store as known after the read.
            sent_at: Monotonic time at which the read was sent, in seconds.
            now: Monotonic time in seconds.
        """
        kept = self._lists.get(service)
        if kept is None:
            return
        if 0 < version < kept.version:
            # An answer that an earlier state of the object gave.
            self.on_failed(service, now)
            return
        names = listed_names(value) or frozenset()
        learns_anew = kept.read_at is None or kept.read_at < self._gap_at
        for name in names:
            if learns_anew or name not in kept.last_seen:
                kept.last_seen[name] = now
        lost = frozenset(kept.last_seen) - names
        if kept.stored is not None and era > kept.era:
            kept.restore |= frozenset(
                name for name in lost if now - kept.last_seen[name] < LIFETIME_S
            )
        kept.restore -= names
        self._apply(kept, names, value if isinstance(value, dict) else {}, version, era, now)
        self._record_success(kept, sent_at)

    def on_written(
        self, action: WriteList, version: int, era: int, sent_at: float, now: float
    ) -> None:
        """Apply a successful write."""
        kept = self._lists.get(action.service)
        if kept is None:
            return
        names = listed_names(action.value) or frozenset()
        kept.restore -= names
        for name in names:
            kept.last_seen.setdefault(name, now)
        self._apply(kept, names, action.value, version, era, now)
        self._record_success(kept, sent_at)

    def on_conflict(self, service: str, now: float) -> None:
        """Apply the refusal of a write, since the object has changed."""
        if service in self._lists:
            self.ask(service, now)

    def on_failed(self, service: str, now: float) -> None:
        """Record a call that failed; a write that failed may have been applied."""
        kept = self._lists.get(service)
        if kept is not None:
            kept.failing = True
            kept.retry_at = now + self._rng.uniform(*RETRY_S)
            kept.asked_at = now
            kept.due_at = min(kept.due_at, now)

    def _set_present(self, service: str, present: frozenset[str], now: float) -> None:
        kept = self._lists[service]
        kept.present = present
        self._record_present(kept, now)
        self._update_first_seen(kept, now)

    def _record_present(self, kept: _List, now: float) -> None:
        for name in kept.present & kept.last_seen.keys():
            if now - kept.kept_at.get(name, float("-inf")) < LIFETIME_S:
                kept.last_seen[name] = kept.kept_at[name] = now
                continue
            # Others may have removed it from the list since.
            del kept.last_seen[name]
            kept.stored = (kept.stored or frozenset()) - {name}
            kept.asked_at, kept.due_at = now, now
            self._update_first_seen(kept, now)

    def _update_first_seen(self, kept: _List, now: float) -> None:
        kept.first_seen = {
            name: kept.first_seen.get(name, now) for name in kept.present - kept.last_seen.keys()
        }

    def _apply(
        self,
        kept: _List,
        names: frozenset[str],
        value: Mapping[str, Any],
        version: int,
        era: int,
        now: float,
    ) -> None:
        kept.stored, kept.value, kept.version = names, dict(value), version
        kept.era = max(era, kept.era)
        kept.last_seen = {
            name: at for name, at in kept.last_seen.items() if name in names | kept.restore
        }
        kept.kept_at = {name: at for name, at in kept.kept_at.items() if name in kept.last_seen}
        kept.kept_at.update(dict.fromkeys(names & kept.present, now))
        self._update_first_seen(kept, now)

    def _record_success(self, kept: _List, sent_at: float) -> None:
        kept.read_at = sent_at if kept.read_at is None else max(sent_at, kept.read_at)
        kept.failing = False
        kept.retry_at = 0.0

    def _ask_after_return(self, kept: _List, era: int, now: float) -> None:
        if kept.asked_at is None or kept.read_at is None or kept.asked_at <= kept.read_at:
            kept.asked_at = now
            kept.due_at = now + self._rng.uniform(0.0, REREAD_SPREAD_S)

    def _wants_read(self, kept: _List) -> bool:
        if kept.read_at is None:
            return True
        if kept.asked_at is not None and kept.read_at < kept.asked_at:
            return True
        return not self._out_of_touch and kept.read_at < self._gap_at

    def _write(self, service: str, kept: _List, now: float) -> Action | None:
        """Return the call that brings the object up to date; None if none is due."""
        kept.restore = frozenset(
            name for name in kept.restore if now - kept.last_seen.get(name, now) < LIFETIME_S
        )
        stored = kept.stored or frozenset()
        missing = (kept.present | kept.restore) - stored
        missing = frozenset(sorted(missing)[: max(0, MAX_LISTED - len(stored))])
        is_first = self._rank(service) == 0
        if missing:
            if kept.write_at is None:
                kept.write_at = now + (0.0 if is_first else self._rng.uniform(*WRITE_SPREAD_S))
            return self._at_turn(service, kept, stored | missing, kept.write_at, is_first, now)
        kept.write_at = None
        removable = frozenset(
            name
            for name in stored - kept.present
            if now - max(kept.last_seen.get(name, now), self._complete_since) >= REMOVE_AFTER_S
        )
        if not removable:
            kept.remove_at = None
            return None
        if kept.remove_at is None:
            kept.remove_at = now + (0.0 if is_first else self._rng.uniform(*REMOVE_SPREAD_S))
        return self._at_turn(service, kept, stored - removable, kept.remove_at, is_first, now)

    def _at_turn(
        self,
        service: str,
        kept: _List,
        names: frozenset[str],
        turn_at: float,
        is_first: bool,
        now: float,
    ) -> Action | None:
        """Return a write once it is this instance's turn, after a read unless it is the first."""
        if now < turn_at:
            return None
        if not is_first and kept.read_at is not None and kept.read_at < turn_at:
            return ReadList(service)
        self._writes += 1
        id = f"{self._writer}/{self._writes}"
        known = kept.value.get("versions")
        entries = known if isinstance(known, dict) else {}
        before = frozenset(entries)
        period = None
        if len(names) > 1:
            is_certain = kept.value.get("era", 0) == kept.era and not kept.restore
            period = next_period(self.period(service), before, id, is_certain)
        value = {
            **write_period(kept.value, names, period, kept.era),
            "versions": {name: entries.get(name, {}) for name in sorted(names)},
            "written_by": id,
            "era": kept.era,
        }
        return WriteList(service, value, kept.version, now)
