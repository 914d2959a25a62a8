"""Exchanges shared records with other instances in datagrams.

New records are passed on to a few instances at random, and by these to a few others. Summaries at
longer intervals repair what was lost, and bring an instance that has started, was suspended or was
cut off up to date.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from random import Random

import gevent
import logbook
from gevent.event import Event
from result import Err

from hickoryloom.clock import Clock
from hickoryloom.datagrams import DatagramPort
from hickoryloom.evidence.messages import (
    DatagramKind,
    Record,
    decode,
    pack,
    record_with_time,
)
from hickoryloom.evidence.records import SharedRecords
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop

__all__ = ["EvidenceExchange"]

FANOUT = 6
"""Instances to which new records are passed on; 1 in 400 instances is left to summaries."""

COALESCE_S = 0.03
"""Time for which new records are collected before they are passed on."""

SUMMARY_INTERVAL_S = 1.0
SUMMARY_FANOUT = 2

HURRIED_INTERVAL_S = 0.4
HURRIED_FANOUT = 4
"""Interval of summaries and instances that get one while others may have lost sight of the store. A
process that has just started knows no other instance until it gets one: here within 0.3 s in 19 of
20 cases, as each instance gets ten a second."""

IDLE_INTERVAL_S = 2.0
"""Interval of summaries while there are no records."""

REPLY_INTERVAL_S = 0.5
"""Shortest interval between two transfers of all records to one instance."""

HEARD_S = 30.0
"""Time for which an instance that was heard of counts as a peer, though the store doesn't list
it yet."""

MAX_HEARD = 1_000
ADDRESS = re.compile(r"[^\s:]{1,255}:[0-9]{1,5}")
FIRST_BYTE = b"{"
"""First byte of the datagrams of the exchange, which are JSON objects."""

log = logbook.Logger("hickoryloom.evidence")


class EvidenceExchange:
    """Sends and receives shared records.

    Args:
        port: Port for datagrams; nothing is exchanged while it is closed.
        clock: Source of time.
        rng: Selects the instances to send to.
        records: The records of this process.
        hurried: Returns whether instances that have started need to hear of this one soon.
    """

    def __init__(
        self,
        port: DatagramPort,
        clock: Clock,
        rng: Random,
        records: SharedRecords,
        hurried: Callable[[], bool] | None = None,
    ) -> None:
        self._hurried = hurried or (lambda: False)
        self._port = port
        self._address = port.address
        self._clock = clock
        self._rng = rng
        self._records = records
        self._peers: frozenset[str] = frozenset()
        self._heard: dict[str, float] = {}
        self._told: dict[str, float] = {}
        self._replied: dict[str, float] = {}
        self._wake = Event()
        self._sender = TaskLoop(self._step, "evidence", log)
        records.on_change = lambda record: self._wake.set()

    @property
    def known_directly(self) -> list[str]:
        """Addresses of the other instances that the store listed or that were heard lately."""
        now = self._clock.monotonic()
        self._heard = {peer: at for peer, at in self._heard.items() if now - at < HEARD_S}
        return sorted(self._peers.union(self._heard))

    @property
    def peers(self) -> list[str]:
        """The same, and those that another instance knows directly."""
        now = self._clock.monotonic()
        self._told = {peer: at for peer, at in self._told.items() if now - at < HEARD_S}
        return sorted(self._told.keys() | set(self.known_directly))

    def set_peers(self, addresses: Iterable[str]) -> None:
        """Replace the addresses of the other live instances."""
        peers = frozenset(addresses) - {self._address}
        if peers - self._peers:
            self._wake.set()
        self._peers = peers

    def hear(self, address: str) -> None:
        """Add an instance that has contacted this one, though the store doesn't list it yet."""
        if self._is_other(address) and len(self._heard) < MAX_HEARD:
            self._heard[address] = self._clock.monotonic()

    def hear_of(self, addresses: Iterable[str]) -> None:
        """Add instances that another one knows directly.

        They are not passed on, so that the addresses of instances that have ended are forgotten.
        """
        now = self._clock.monotonic()
        for address in addresses:
            if self._is_other(address) and len(self._told) < MAX_HEARD:
                self._told[address] = now

    def _is_other(self, address: str) -> bool:
        return address != self._address and ADDRESS.fullmatch(address) is not None

    def start(self) -> None:
        """Start to exchange records."""
        if not self._port.is_open:
            return
        self._port.subscribe(FIRST_BYTE, self._receive)
        self._sender.start()

    def stop(self) -> None:
        """Pass on what is new and end the exchange."""
        if self._port.is_open:
            self._send_changes()
            self._wake.set()
            self._sender.stop()

    def _step(self) -> float:
        idle = not self._records.all(self._clock.monotonic())
        interval_s = IDLE_INTERVAL_S if idle else SUMMARY_INTERVAL_S
        if self._wake.wait(HURRIED_INTERVAL_S if self._hurried() else interval_s):
            gevent.sleep(COALESCE_S)
            self._wake.clear()
            if self._send_changes():
                return 0.0
        self._send_summaries()
        return 0.0

    def _send_changes(self) -> bool:
        """Pass new records on; return whether there are any."""
        changes = self._records.take_changes()
        if changes:
            self._send(self._select(FANOUT), DatagramKind.RECORDS, changes)
        return bool(changes)

    def _send_summaries(self) -> None:
        self._send(
            self._select(HURRIED_FANOUT if self._hurried() else SUMMARY_FANOUT),
            DatagramKind.SUMMARY,
            (),
        )

    def _select(self, number: int) -> list[str]:
        known = self.peers
        return self._rng.sample(known, min(number, len(known)))

    def _send(
        self, addresses: Iterable[str], kind: DatagramKind, records: Iterable[Record]
    ) -> None:
        now = self._clock.monotonic()
        datagrams = list(pack(kind, self._address, self._records.digest(now), records, now))
        for address in addresses:
            for data in datagrams:
                self._port.send(data, address)

    def _receive(self, data: bytes) -> None:
        decoded = decode(data)
        if isinstance(decoded, Err):
            log_event(log, "evidence-unreadable", detail=decoded.err_value)
            return
        datagram, now = decoded.ok_value, self._clock.monotonic()
        self.hear(datagram.address)
        self._records.merge((record_with_time(sent, now) for sent in datagram.records), now)
        if datagram.kind is DatagramKind.RECORDS or datagram.digest == self._records.digest(now):
            return
        is_summary = datagram.kind is DatagramKind.SUMMARY
        if is_summary and now - self._replied.get(datagram.address, -1e9) < REPLY_INTERVAL_S:
            return
        self._replied = {
            peer: at for peer, at in self._replied.items() if now - at < REPLY_INTERVAL_S
        }
        self._replied[datagram.address] = now
        reply = DatagramKind.REPLY if is_summary else DatagramKind.RECORDS
        self._send([datagram.address], reply, self._records.all(now))
