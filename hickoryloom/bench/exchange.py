"""Simulated exchange of heartbeats between entries, with delay and loss."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from hickoryloom.membership.messages import Heartbeat, Peer

__all__ = ["HeartbeatExchange"]

HEARTBEAT_PERIOD_S = 1.0
MIN_URGENT_INTERVAL_S = 0.02
PEER_TIMEOUT_S = 3.0


@attrs.define
class _Node:
    name: str
    build_summaries: Callable[[], dict[str, Any]]
    set_peers: Callable[[tuple[Peer, ...]], None]
    sequence: int = 0
    built_at: dict[int, float] = attrs.field(factory=dict)
    peers: dict[str, Peer] = attrs.field(factory=dict)
    suspended: bool = False
    urgent_exchange_at: float = float("-inf")


class HeartbeatExchange:
    """Exchanges heartbeats as membership does: one entry of each pair calls and the other answers.

    Args:
        now: Returns the current time.
        schedule: Schedules a function to be called after a delay.
        rng: Random source of losses, delays and start phases.
        delay_s: One-way delay.
        loss: Fraction of messages that are lost.
    """

    def __init__(
        self,
        now: Callable[[], float],
        schedule: Callable[[float, Callable[[], None]], None],
        rng: random.Random,
        delay_s: float,
        loss: float,
    ) -> None:
        self.messages = 0
        self.partitioned: set[frozenset[str]] = set()
        self._now = now
        self._schedule = schedule
        self._rng = rng
        self._delay_s = delay_s
        self._loss = loss
        self._nodes: dict[str, _Node] = {}

    def add(
        self,
        name: str,
        build_summaries: Callable[[], dict[str, Any]],
        set_peers: Callable[[tuple[Peer, ...]], None],
    ) -> None:
        """Add an entry.

        Args:
            name: Incarnation of the entry.
            build_summaries: Returns its demand summaries by pool.
            set_peers: Called with its live peers.
        """
        self._nodes[name] = _Node(name, build_summaries, set_peers)
        self._schedule(
            self._rng.random() * HEARTBEAT_PERIOD_S, lambda: self._periodic_exchange(name)
        )

    def request_exchange(self, name: str) -> None:
        """Exchange heartbeats with all peers, at most once per `MIN_URGENT_INTERVAL_S`."""
        node = self._nodes[name]
        wait_s = node.urgent_exchange_at + MIN_URGENT_INTERVAL_S - self._now()
        if wait_s > MIN_URGENT_INTERVAL_S:
            return
        node.urgent_exchange_at = self._now() + max(0.0, wait_s)
        self._schedule(max(0.0, wait_s), lambda: self._exchange_with_all(name))

    def set_suspended(self, name: str, suspended: bool) -> None:
        """Suspend or resume an entry; messages to a suspended entry are lost."""
        self._nodes[name].suspended = suspended

    def _periodic_exchange(self, name: str) -> None:
        self._schedule(HEARTBEAT_PERIOD_S, lambda: self._periodic_exchange(name))
        node = self._nodes[name]
        if node.suspended:
            return
        for other in self._nodes:
            if name < other:
                self._send(name, other, answer=True)
        self._deliver_peers(node)

    def _exchange_with_all(self, name: str) -> None:
        for other in self._nodes:
            if other != name:
                self._send(name, other, answer=True)

    def _send(self, sender: str, receiver: str, answer: bool) -> None:
        node = self._nodes[sender]
        if node.suspended:
            return
        heartbeat = self._build_heartbeat(node, receiver)
        self.messages += 1
        lost = self._rng.random() < self._loss or frozenset((sender, receiver)) in self.partitioned
        if lost:
            return
        delay = self._delay_s * (1 + self._rng.random())
        self._schedule(delay, lambda: self._receive(receiver, heartbeat, answer))

    def _receive(self, receiver: str, heartbeat: Heartbeat, answer: bool) -> None:
        node = self._nodes[receiver]
        if node.suspended:
            return
        sender = heartbeat.incarnation
        previous = node.peers.get(sender)
        if previous is None or previous.heartbeat.sequence < heartbeat.sequence:
            acknowledged_at = node.built_at.get(heartbeat.seen.get(receiver, 0))
            if acknowledged_at is None and previous is not None:
                acknowledged_at = previous.acknowledged_at
            node.peers[sender] = Peer(heartbeat, self._now(), acknowledged_at)
        if answer:
            self._send(receiver, sender, answer=False)
        self._deliver_peers(node)

    def _deliver_peers(self, node: _Node) -> None:
        oldest_received_at = self._now() - PEER_TIMEOUT_S
        node.set_peers(
            tuple(peer for peer in node.peers.values() if peer.received_at >= oldest_received_at)
        )

    def _build_heartbeat(self, node: _Node, receiver: str) -> Heartbeat:
        node.sequence += 1
        node.built_at[node.sequence] = self._now()
        known = node.peers.get(receiver)
        return Heartbeat(
            incarnation=node.name,
            address="",
            failure_domain="",
            generation=1,
            revision=0,
            platform_age_s=0.0,
            pools=node.build_summaries(),
            sequence=node.sequence,
            seen={receiver: known.heartbeat.sequence} if known else {},
        )
