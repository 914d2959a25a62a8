"""Who lives, judged by local receive times alone."""

from __future__ import annotations

from collections import deque
from typing import Any

import attrs

from hickoryloom.membership.messages import Heartbeat, Peer, Presence
from hickoryloom.store.messages import Listing

__all__ = ["FAILURE_S", "OUTAGE_HOLD_S", "PRESENCE_STALE_S", "MembershipState"]

FAILURE_S = 3.0
PRESENCE_STALE_S = 25.0
OUTAGE_HOLD_S = 60.0
KEEP_BUILT_S = 30.0
ENTRY_ROLE = "entry"
REQUIRED_FIELDS = ("incarnation", "address", "failure_domain")


@attrs.define
class _Known:
    """One other entry.

    Attributes:
        address: `host:port` for other entries.
        peer: Latest heartbeat; None before the first.
        learned: Monotonic time at which it was first heard of, in seconds.
        presence_version: Version of its presence object seen last; 0 for none.
        presence_changed: Monotonic time at which that version was first seen, in seconds.
        absent: Monotonic time of the latest list without it, in seconds; None for none.
    """

    address: str
    learned: float
    peer: Peer | None = None
    presence_version: int = 0
    presence_changed: float = 0.0
    absent: float | None = None

    def last_heard(self) -> float:
        return self.learned if self.peer is None else self.peer.heard


class MembershipState:
    """Pure knowledge of the other entries.

    A peer is live while its heartbeats come. A silent one is missing until it is known to have
    ended: it said so, its presence object went away or is no longer renewed, or it was silent
    for `OUTAGE_HOLD_S` while the platform did not answer.

    Args:
        incarnation: This process.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._known: dict[str, _Known] = {}
        self._gone: dict[str, int] = {}
        self._built: deque[tuple[int, float]] = deque()
        self._sequence = 0
        self._listed: float | None = None

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses of all other entries not known to have ended, by incarnation."""
        return {name: known.address for name, known in self._known.items()}

    def stamp(self, heartbeat: Heartbeat, now: float) -> Heartbeat:
        """Number a heartbeat of this process that was built at `now`."""
        self._sequence += 1
        self._built.append((self._sequence, now))
        while self._built[0][1] < now - KEEP_BUILT_S:
            self._built.popleft()
        return attrs.evolve(heartbeat, sequence=self._sequence)

    def address_to(self, heartbeat: Heartbeat, incarnation: str) -> Heartbeat:
        """Add the sequence heard from the peer that `heartbeat` goes to."""
        known = self._known.get(incarnation)
        if known is None or known.peer is None:
            return heartbeat
        return attrs.evolve(heartbeat, seen={incarnation: known.peer.heartbeat.sequence})

    def hear(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take in a peer's heartbeat; return False for an old or repeated one."""
        name = heartbeat.incarnation
        if name == self._incarnation:
            return False
        self._gone.pop(name, None)
        known = self._known.setdefault(name, _Known(heartbeat.address, now))
        before = known.peer
        if before is not None and before.heartbeat.sequence >= heartbeat.sequence:
            return False
        echoed = self._built_at(heartbeat.seen.get(self._incarnation, 0))
        if echoed is None and before is not None:
            echoed = before.echoed
        known.address = heartbeat.address
        known.peer = Peer(heartbeat, now, echoed)
        return True

    def learn(self, incarnation: str, address: str, now: float) -> None:
        """Take in a peer's word that an entry lives at `address`."""
        if incarnation != self._incarnation and incarnation not in self._known:
            self._known[incarnation] = _Known(address, now)

    def list_presence(self, listing: Listing, now: float) -> None:
        """Take in all presence objects of the platform."""
        self._listed = now
        present = set()
        for item in listing.items:
            presence = _read_presence(item.value)
            if presence is None or presence.incarnation == self._incarnation:
                continue
            present.add(presence.incarnation)
            if self._gone.get(presence.incarnation) == item.version:
                continue
            known = self._known.setdefault(presence.incarnation, _Known(presence.address, now))
            known.absent = None
            if known.presence_version != item.version:
                known.presence_version = item.version
                known.presence_changed = now
        self._gone = {name: version for name, version in self._gone.items() if name in present}
        for name, known in self._known.items():
            if name not in present:
                known.presence_version = 0
                known.absent = now

    def expire(self, now: float) -> None:
        """Forget the entries that are known to have ended."""
        for name in [name for name, known in self._known.items() if self._ended(known, now)]:
            known = self._known.pop(name)
            if known.presence_version:
                self._gone[name] = known.presence_version

    def live(self, now: float) -> tuple[Peer, ...]:
        """Return the peers heard within `FAILURE_S`."""
        peers = [known.peer for known in self._known.values() if known.peer is not None]
        return tuple(peer for peer in peers if now - peer.heard <= FAILURE_S)

    def missing(self, now: float) -> tuple[str, ...]:
        """Return silent entries that are not known to have ended."""
        live = {peer.heartbeat.incarnation for peer in self.live(now)}
        return tuple(
            name
            for name, known in self._known.items()
            if name not in live and not self._ended(known, now)
        )

    def stale_presence(self) -> dict[str, int]:
        """Return versions of presence objects that nobody renews, by incarnation."""
        return dict(self._gone)

    def _ended(self, known: _Known, now: float) -> bool:
        silent_s = now - known.last_heard()
        if silent_s <= FAILURE_S:
            return False
        if known.peer is not None and known.peer.heartbeat.stopping:
            return True
        listed = self._listed is not None and now - self._listed <= PRESENCE_STALE_S
        if known.absent is not None and known.absent > known.last_heard():
            return True
        if listed and known.presence_version:
            return now - known.presence_changed > PRESENCE_STALE_S
        return silent_s > OUTAGE_HOLD_S

    def _built_at(self, sequence: int) -> float | None:
        for number, built in reversed(self._built):
            if number == sequence:
                return built
        return None


def _read_presence(value: Any) -> Presence | None:
    """Return the presence of an entry, None for other processes and malformed objects."""
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
