"""Tracks when this entry was last known to have the current configuration; no I/O."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

__all__ = ["Freshness", "PeerView", "FreshnessTracker"]

NEVER = float("-inf")


@attrs.frozen
class Freshness:
    """How recently this entry's view of the configuration was confirmed.

    Attributes:
        generation: Generation applied here.
        revision: Highest revision of the platform that this entry has seen.
        seen: Monotonic time up to which every accepted change is known to be applied here,
            according to a response of the platform to this entry or to a peer; minus infinity
            for never.
        confirmed: Monotonic time of the latest round in which a quorum of peers, queried by this
            entry or by a peer, knew of nothing newer; minus infinity for never.
    """

    generation: int = 0
    revision: int = 0
    seen: float = NEVER
    confirmed: float = NEVER

    def age(self, now: float) -> float:
        """Return the seconds since the platform confirmed the view; infinite for never."""
        return now - self.seen

    def confirmed_age(self, now: float) -> float:
        """Return the seconds since the platform or a quorum of peers confirmed the view."""
        return now - max(self.seen, self.confirmed)


@attrs.frozen
class PeerView:
    """A peer's report of its own view.

    Attributes:
        generation: Generation applied at the peer.
        revision: Highest revision of the platform that the peer has seen.
        age_s: Seconds since the platform confirmed the peer's view; negative for never.
        vouched_age_s: Seconds since the platform or a quorum confirmed the peer's view; negative
            for never.
    """

    generation: int
    revision: int
    age_s: float
    vouched_age_s: float


class FreshnessTracker:
    """Tracks the evidence that the view is current.

    Each response counts from the time at which its request was sent, so that a response delayed in
    the network, or in the socket buffer of a suspended process, never makes the view look fresher
    than it is.

    Args:
        failure_domain: Failure domain of this entry, from which a quorum needs no response.
    """

    def __init__(self, failure_domain: str = "") -> None:
        self._failure_domain = failure_domain
        self._freshness = Freshness()
        self._newest_generation = 0
        self._newest_revision = 0

    @property
    def freshness(self) -> Freshness:
        """Freshness according to the evidence recorded so far."""
        return self._freshness

    @property
    def newest_generation(self) -> int:
        """Highest generation known to exist, whether or not it is applied here."""
        return self._newest_generation

    def record_applied(self, generation: int) -> None:
        """Record the generation that was applied here."""
        self._newest_generation = max(self._newest_generation, generation)
        self._freshness = attrs.evolve(self._freshness, generation=generation)

    def record_known(self, generation: int, revision: int) -> None:
        """Record what a peer knows, whether or not it can already be fetched."""
        self._newest_generation = max(self._newest_generation, generation)
        self._newest_revision = max(self._newest_revision, revision)

    def record_platform_response(self, sent_at: float, revision: int) -> None:
        """Record a watch response, after its changes were applied.

        A response with a revision before the latest known one, or received while a newer generation
        is known elsewhere, is a stale read and is ignored.

        Args:
            sent_at: Monotonic time at which the request was sent.
            revision: The platform's revision in the response.
        """
        if revision < self._newest_revision:
            return
        if self._newest_generation > self._freshness.generation:
            return
        self._newest_revision = revision
        self._freshness = attrs.evolve(self._freshness, revision=revision)
        self._advance_seen(sent_at)

    def record_peer_response(self, sent_at: float, view: PeerView) -> None:
        """Record a peer's response, after its generation was applied.

        Args:
            sent_at: Monotonic time at which the request was sent.
            view: The peer's view.
        """
        self.record_known(view.generation, view.revision)
        if view.generation > self._freshness.generation:
            return
        if view.age_s >= 0:
            self._advance_seen(sent_at - view.age_s)
        if view.vouched_age_s >= 0:
            self._advance_confirmed(sent_at - view.vouched_age_s)

    def record_round(self, sent_at: float, queried: Mapping[str, str], responded: set[str]) -> bool:
        """Record a round of queries to peers, after the responses were recorded.

        Args:
            sent_at: Monotonic time before the first query of the round.
            queried: Failure domain of each queried peer, by address.
            responded: Addresses of the peers that responded.

        Returns:
            Whether the round confirms the view.
        """
        if self._newest_generation > self._freshness.generation:
            return False
        if not self._freshness.generation or not is_quorum(
            queried, responded, self._failure_domain
        ):
            return False
        self._advance_confirmed(sent_at)
        return True

    def _advance_seen(self, time: float) -> None:
        seen = max(self._freshness.seen, time)
        self._freshness = attrs.evolve(self._freshness, seen=seen)

    def _advance_confirmed(self, time: float) -> None:
        confirmed = max(self._freshness.confirmed, time)
        self._freshness = attrs.evolve(self._freshness, confirmed=confirmed)


def is_quorum(queried: Mapping[str, str], responded: set[str], own_domain: str = "") -> bool:
    """Return whether the responses of a round form a quorum.

    This entry and the peers that responded must be a majority of this entry and the queried peers,
    and each failure domain of a queried peer other than its own must have responded at least once.
    Thus neither a partitioned minority nor a partitioned failure domain can confirm its own view.

    Args:
        queried: Failure domain of each queried peer, by address.
        responded: Addresses of the peers that responded.
        own_domain: Failure domain of this entry.
    """
    counted = responded & set(queried)
    if 2 * (len(counted) + 1) <= len(queried) + 1:
        return False
    covered = {own_domain, *(queried[address] for address in counted)}
    return covered >= set(queried.values())
