"""Dependencies that all requests of a gateway share, and the state of one attempt."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from hickoryloom.catalog import CatalogFollower
from hickoryloom.clock import Clock
from hickoryloom.contention import Contention
from hickoryloom.discovery import Discovery
from hickoryloom.evacuations import EvacuatedServers
from hickoryloom.gateway.budget import SharedRetryBudget
from hickoryloom.gateway.ports import BackendCodec
from hickoryloom.handover import HandOverClient, HandOverPeer
from hickoryloom.metering import UsageMeter
from hickoryloom.metrics import MetricsRecorder
from hickoryloom.origins import Origin, StreamOrigins
from hickoryloom.placing import ColdServers, Placement, Placer
from hickoryloom.quarantine import Quarantine
from hickoryloom.reach import EndWitness, Reach
from hickoryloom.upstream import BufferBudget, ConnectionPool, Exchange

__all__ = ["AnyAttempt", "Attempt", "GatewayContext", "PeerAttempt"]


@attrs.frozen
class GatewayContext:
    """Dependencies shared by all requests of a gateway."""

    clock: Clock
    rng: random.Random
    catalog: CatalogFollower
    discovery: Discovery
    placer: Placer
    cold: ColdServers
    connections: ConnectionPool
    backends: BackendCodec
    meter: UsageMeter
    metrics: MetricsRecorder
    retries: Callable[[str], SharedRetryBudget]
    quarantine: Quarantine
    origins: StreamOrigins
    reach: Reach
    witness: EndWitness
    hand_overs: HandOverClient
    instance: str
    buffers: BufferBudget
    contention: Contention
    evacuated: EvacuatedServers


@attrs.define
class Attempt:
    """One attempt that has been sent.

    Attributes:
        placement: The chosen backend server and the reason for the choice.
        exchange: The HTTP exchange with the backend server.
        sent: Monotonic time of the send, in seconds.
        accepted: Whether a response head has arrived that doesn't deny the execution.
        first_event_received: Whether the first event of its stream has arrived.
        first_event_at: Monotonic time of that event, in seconds.
        prompt_answered: Whether the backend server has responded for long enough to show that no
            part of the prompt crashes it.
        answered: Whether it has done so for long enough to show that the request does not.
        ended: Whether its connection has been released.
    """

    placement: Placement
    exchange: Exchange
    sent: float
    accepted: bool = False
    first_event_received: bool = False
    first_event_at: float = 0.0
    prompt_answered: bool = False
    answered: bool = False
    ended: bool = False

    @property
    def received(self) -> str:
        """How much of the response has arrived: `nothing`, `head` or `events`."""
        if self.first_event_received:
            return "events"
        return "head" if self.accepted else "nothing"


@attrs.define
class PeerAttempt:
    """One attempt at another instance, to which the request was handed over.

    Attributes:
        peer: The other instance.
        service: Service that this instance can't reach.
        exchange: The HTTP exchange with it.
        sent: Monotonic time of the send, in seconds.
        origin: Origin of its stream as that instance tells it; None if it doesn't.
        first_event_received: Whether the first event of its stream has arrived.
        ended: Whether its connection has been released.
    """

    peer: HandOverPeer
    service: str
    exchange: Exchange
    sent: float
    origin: Origin | None = None
    first_event_received: bool = False
    ended: bool = False


AnyAttempt = Attempt | PeerAttempt
