"""Heartbeats between the entries of an experiment, with delay and loss."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from hickoryloom.membership.messages import Heartbeat, Peer

__all__ = ["Exchange"]

PERIOD_S = 1.0
URGENT_GAP_S = 0.02
FAILURE_S = 3.0


@attrs.define
class _Node:
    name: str
    build: Callable[[], dict[str, Any]]
    receive: Callable[[tuple[Peer, ...]], None]
    sequence: int = 0
    built: dict[int, float] = attrs.field(factory=dict)
    peers: dict[str, Peer] = attrs.field(factory=dict)
    frozen: bool = False
    urgent_at: float = float("-inf")


class Exchange:
    """Carries heartbeats as membership does: of each pair one calls, the other answers.

    Args:
        now: Returns the time.
        schedule: Calls a function after a delay.
        rng: Source of losses and phases.
        delay_s: One-way delay.
        loss: Part of messages lost.
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
        self.cut: set[frozenset[str]] = set()
        self._now = now
        self._schedule = schedule
        self._rng = rng
        self._delay_s = delay_s
        self._loss = loss
        self._nodes: dict[str, _Node] = {}

    def add(
        self,
        name: str,
        build: Callable[[], dict[str, Any]],
        receive: Callable[[tuple[Peer, ...]], None],
    ) -> None:
        """Add an entry.

        Args:
            name: Its incarnation.
            build: Returns its summaries by pool.
            receive: Takes its live peers.
        """
        self._nodes[name] = _Node(name, build, receive)
        self._schedule(self._rng.random() * PERIOD_S, lambda: self._round(name))

    def send_now(self, name: str) -> None:
        """Exchange with all peers at once, unless that was done a moment ago."""
        node = self._nodes[name]
        wait = node.urgent_at + URGENT_GAP_S - self._now()
        if wait > URGENT_GAP_S:
            return
        node.urgent_at = self._now() + max(0.0, wait)
        self._schedule(max(0.0, wait), lambda: self._call_all(name))

    def freeze(self, name: str, frozen: bool) -> None:
        """Stop or continue an entry; messages to a stopped one are lost."""
        self._nodes[name].frozen = frozen

    def _round(self, name: str) -> None:
        self._schedule(PERIOD_S, lambda: self._round(name))
        node = self._nodes[name]
        if node.frozen:
            return
        for other in self._nodes:
            if name < other:
                self._send(name, other, answer=True)
        self._deliver(node)

    def _call_all(self, name: str) -> None:
        for other in self._nodes:
            if other != name:
                self._send(name, other, answer=True)

    def _send(self, sender: str, receiver: str, answer: bool) -> None:
        node = self._nodes[sender]
        if node.frozen:
            return
        heartbeat = self._heartbeat(node, receiver)
        self.messages += 1
        lost = self._rng.random() < self._loss or frozenset((sender, receiver)) in self.cut
        if lost:
            return
        delay = self._delay_s * (1 + self._rng.random())
        self._schedule(delay, lambda: self._hear(receiver, heartbeat, answer))

    def _hear(self, receiver: str, heartbeat: Heartbeat, answer: bool) -> None:
        node = self._nodes[receiver]
        if node.frozen:
            return
        sender = heartbeat.incarnation
        before = node.peers.get(sender)
        if before is None or before.heartbeat.sequence < heartbeat.sequence:
            echoed = node.built.get(heartbeat.seen.get(receiver, 0))
            if echoed is None and before is not None:
                echoed = before.echoed
            node.peers[sender] = Peer(heartbeat, self._now(), echoed)
        if answer:
            self._send(receiver, sender, answer=False)
        self._deliver(node)

    def _deliver(self, node: _Node) -> None:
        oldest = self._now() - FAILURE_S
        node.receive(tuple(peer for peer in node.peers.values() if peer.heard >= oldest))

    def _heartbeat(self, node: _Node, receiver: str) -> Heartbeat:
        node.sequence += 1
        node.built[node.sequence] = self._now()
        known = node.peers.get(receiver)
        return Heartbeat(
            incarnation=node.name,
            address="",
            failure_domain="",
            generation=1,
            revision=0,
            platform_age_s=0.0,
            pools=node.build(),
            sequence=node.sequence,
            seen={receiver: known.heartbeat.sequence} if known else {},
        )
