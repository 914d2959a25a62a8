"""Liveness of the other entry processes, based only on local receive times."""

from __future__ import annotations

from collections import deque
from typing import Any

import attrs

from hickoryloom.membership.messages import Heartbeat, Peer, Presence
from hickoryloom.store.messages import Listing

__all__ = ["FAILURE_TIMEOUT_S", "OUTAGE_TIMEOUT_S", "PRESENCE_TIMEOUT_S", "MembershipState"]

FAILURE_TIMEOUT_S = 3.0
PRESENCE_TIMEOUT_S = 25.0
OUTAGE_TIMEOUT_S = 60.0
BUILD_TIME_RETENTION_S = 30.0
ENTRY_ROLE = "entry"
REQUIRED_FIELDS = ("incarnation", "address", "failure_domain")


@attrs.define
class _PeerRecord:
    """State of one other entry process.

    Attributes:
        address: `host:port` that other entry processes connect to.
        peer: Latest heartbeat; None before the first.
        discovered_at: Monotonic time at which the process was discovered, in seconds.
        presence_version: Latest version of its presence object; 0 for none.
        presence_changed_at: Monotonic time at which that version was first seen, in seconds.
        absent: Monotonic time of the latest listing without it, in seconds; None for none.
    """

    address: str
    discovered_at: float
    peer: Peer | None = None
    presence_version: int = 0
    presence_changed_at: float = 0.0
    absent: float | None = None

    def last_received_at(self) -> float:
        return self.discovered_at if self.peer is None else self.peer.received_at


class MembershipState:
    """What this process knows of the other entry processes; performs no I/O.

    A peer is live while its heartbeats arrive. A silent peer is missing until it is known to have
    ended: it announced a stop, its presence object was deleted or is no longer renewed, or it was
    silent for `OUTAGE_TIMEOUT_S` while the platform did not respond.

    Args:
        incarnation: Incarnation of this process.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._records: dict[str, _PeerRecord] = {}
        self._ended_versions: dict[str, int] = {}
        self._build_times: deque[tuple[int, float]] = deque()
        self._sequence = 0
        self._listed_at: float | None = None

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses of the other entry processes not known to have ended, by incarnation."""
        return {name: record.address for name, record in self._records.items()}

    def assign_sequence(self, heartbeat: Heartbeat, now: float) -> Heartbeat:
        """Assign the next sequence number to a heartbeat of this process built at `now`."""
        self._sequence += 1
        self._build_times.append((self._sequence, now))
        while self._build_times[0][1] < now - BUILD_TIME_RETENTION_S:
            self._build_times.popleft()
        return attrs.evolve(heartbeat, sequence=self._sequence)

    def add_acknowledgement(self, heartbeat: Heartbeat, incarnation: str) -> Heartbeat:
        """Add the latest sequence number received from the peer that `heartbeat` is sent to."""
        record = self._records.get(incarnation)
        if record is None or record.peer is None:
            return heartbeat
        return attrs.evolve(heartbeat, seen={incarnation: record.peer.heartbeat.sequence})

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply a peer's heartbeat; return False for an old or repeated one."""
        name = heartbeat.incarnation
        if name == self._incarnation:
            return False
        self._ended_versions.pop(name, None)
        record = self._records.setdefault(name, _PeerRecord(heartbeat.address, now))
        previous = record.peer
        if previous is not None and previous.heartbeat.sequence >= heartbeat.sequence:
            return False
        acknowledged_at = self._find_build_time(heartbeat.seen.get(self._incarnation, 0))
        if acknowledged_at is None and previous is not None:
            acknowledged_at = previous.acknowledged_at
        record.address = heartbeat.address
        record.peer = Peer(heartbeat, now, acknowledged_at)
        return True

    def add_address(self, incarnation: str, address: str, now: float) -> None:
        """Add an entry process that a peer reported as live at `address`."""
        if incarnation != self._incarnation and incarnation not in self._records:
            self._records[incarnation] = _PeerRecord(address, now)

    def apply_listing(self, listing: Listing, now: float) -> None:
        """Apply a listing of all presence objects in the platform."""
        self._listed_at = now
        present = set()
        for item in listing.items:
            presence = _read_presence(item.value)
            if presence is None or presence.incarnation == self._incarnation:
                continue
            present.add(presence.incarnation)
            if self._ended_versions.get(presence.incarnation) == item.version:
                continue
            record = self._records.setdefault(
                presence.incarnation, _PeerRecord(presence.address, now)
            )
            record.absent = None
            if record.presence_version != item.version:
                record.presence_version = item.version
                record.presence_changed_at = now
        self._ended_versions = {
            name: version for name, version in self._ended_versions.items() if name in present
        }
        for name, record in self._records.items():
            if name not in present:
                record.presence_version = 0
                record.absent = now

    def remove_ended(self, now: float) -> None:
        """Remove the entry processes that are known to have ended."""
        for name in [
            name for name, record in self._records.items() if self._has_ended(record, now)
        ]:
            record = self._records.pop(name)
            if record.presence_version:
                self._ended_versions[name] = record.presence_version

    def live(self, now: float) -> tuple[Peer, ...]:
        """Return the peers with a heartbeat within the last `FAILURE_TIMEOUT_S`."""
        peers = [record.peer for record in self._records.values() if record.peer is not None]
        return tuple(peer for peer in peers if now - peer.received_at <= FAILURE_TIMEOUT_S)

    def missing(self, now: float) -> tuple[str, ...]:
        """Return the silent entry processes that are not known to have ended."""
        live = {peer.heartbeat.incarnation for peer in self.live(now)}
        return tuple(
            name
            for name, record in self._records.items()
            if name not in live and not self._has_ended(record, now)
        )

    def stale_presence(self) -> dict[str, int]:
        """Return versions of presence objects of ended processes, by incarnation."""
        return dict(self._ended_versions)

    def _has_ended(self, record: _PeerRecord, now: float) -> bool:
        silent_s = now - record.last_received_at()
        if silent_s <= FAILURE_TIMEOUT_S:
            return False
        if record.peer is not None and record.peer.heartbeat.stopping:
            return True
        recently_listed = (
            self._listed_at is not None and now - self._listed_at <= PRESENCE_TIMEOUT_S
        )
        if record.absent is not None and record.absent > record.last_received_at():
            return True
        if recently_listed and record.presence_version:
            return now - record.presence_changed_at > PRESENCE_TIMEOUT_S
        return silent_s > OUTAGE_TIMEOUT_S

    def _find_build_time(self, sequence: int) -> float | None:
        for number, built_at in reversed(self._build_times):
            if number == sequence:
                return built_at
        return None


def _read_presence(value: Any) -> Presence | None:
    """Return an entry process's presence, or None for other processes and malformed objects."""
    if not isinstance(value, dict):
        return None
    fields = {
        field.name: found
        for field in attrs.fields(Presence)
        if isinstance(found := value.get(field.name), str)
    }
    if not all(fields.get(name) for name in REQUIRED_FIELDS):
        return None
    presence = Presence(**fields)
    port = presence.address.rpartition(":")[2]
    return presence if presence.role == ENTRY_ROLE and port.isdigit() else None
