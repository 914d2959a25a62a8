"""Exchanges shared records with other instances in datagrams.

New records are passed on to a few instances at random, and by these to a few others. Summaries at
longer intervals repair what was lost, and bring an instance that has started, was suspended or was
cut off up to date.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

import gevent
import logbook
from gevent import socket
from gevent.event import Event
from result import Err

from hickoryloom.clock import Clock
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

IDLE_INTERVAL_S = 2.0
"""Interval of summaries while there are no records."""

REPLY_INTERVAL_S = 0.5
"""Shortest interval between two transfers of all records to one instance."""

HEARD_S = 30.0
"""Time for which an instance that was heard of counts as a peer, though the store doesn't list
it yet."""

MAX_HEARD = 1_000
READ_BYTES = 8 * 1024

log = logbook.Logger("hickoryloom.evidence")


class EvidenceExchange:
    """Sends and receives shared records.

    Args:
        address: `host:port` at which this instance receives datagrams; empty to exchange nothing.
        clock: Source of time.
        rng: Selects the instances to send to.
        records: The records of this process.
    """

    def __init__(self, address: str, clock: Clock, rng: Random, records: SharedRecords) -> None:
        self._address = address
        self._clock = clock
        self._rng = rng
        self._records = records
        self._peers: frozenset[str] = frozenset()
        self._heard: dict[str, float] = {}
        self._replied: dict[str, float] = {}
        self._wake = Event()
        self._socket: Any = None
        self._reader: gevent.Greenlet | None = None
        self._sender = TaskLoop(self._step, "evidence", log)
        records.on_change = lambda record: self._wake.set()

    def set_peers(self, addresses: Iterable[str]) -> None:
        """Replace the addresses of the other live instances."""
        peers = frozenset(addresses) - {self._address}
        if peers - self._peers:
            self._wake.set()
        self._peers = peers

    def start(self) -> None:
        """Bind the socket and start to exchange records."""
        if not self._address:
            return
        host, _, port = self._address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind((host, int(port)))
        except OSError as error:
            # The instance serves on without the evidence of the others.
            log_event(log, "evidence-not-received", error=str(error))
            sock.close()
            return
        self._socket = sock
        self._reader = gevent.spawn(self._read_all)
        self._sender.start()

    def stop(self) -> None:
        """Pass on what is new, then close the socket."""
        if self._socket is None:
            return
        self._send_changes()
        self._wake.set()
        self._sender.stop()
        if self._reader is not None:
            self._reader.kill()
        self._socket.close()

    def _step(self) -> float:
        idle = not self._records.all(self._clock.monotonic())
        if self._wake.wait(IDLE_INTERVAL_S if idle else SUMMARY_INTERVAL_S):
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
        self._send(self._select(SUMMARY_FANOUT), DatagramKind.SUMMARY, ())

    def _select(self, number: int) -> list[str]:
        now = self._clock.monotonic()
        self._heard = {peer: at for peer, at in self._heard.items() if now - at < HEARD_S}
        known = sorted(self._peers.union(self._heard))
        return self._rng.sample(known, min(number, len(known)))

    def _send(
        self, addresses: Iterable[str], kind: DatagramKind, records: Iterable[Record]
    ) -> None:
        now = self._clock.monotonic()
        datagrams = list(pack(kind, self._address, self._records.digest(now), records, now))
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                for data in datagrams:
                    self._socket.sendto(data, (host, int(port)))
            except (OSError, ValueError) as error:
                log_event(log, "evidence-not-sent", to=address, error=str(error))

    def _read_all(self) -> None:
        while True:
            try:
                data, _ = self._socket.recvfrom(READ_BYTES)
            except OSError as error:
                log_event(log, "evidence-not-received", error=str(error))
                gevent.sleep(COALESCE_S)
                continue
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        decoded = decode(data)
        if isinstance(decoded, Err):
            log_event(log, "evidence-unreadable", detail=decoded.err_value)
            return
        datagram, now = decoded.ok_value, self._clock.monotonic()
        if len(self._heard) < MAX_HEARD and datagram.address != self._address:
            self._heard[datagram.address] = now
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
