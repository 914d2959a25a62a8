"""How recently this entry is known to have had the whole configuration; pure logic."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

__all__ = ["Freshness", "PeerView", "ViewEvidence"]

NEVER = float("-inf")


@attrs.frozen
class Freshness:
    """How well this entry's view of the configuration is founded.

    Attributes:
        generation: Generation in force here.
        revision: Highest revision of the platform that this entry has seen.
        seen: Monotonic time up to which every accepted change is known to be in force here, by
            the platform's word, heard by itself or through a peer; minus infinity for never.
        vouched: Monotonic time of the latest round in which enough peers, asked by this entry or
            by a peer, knew of nothing newer; minus infinity for never.
    """

    generation: int = 0
    revision: int = 0
    seen: float = NEVER
    vouched: float = NEVER

    def age(self, now: float) -> float:
        """Return the seconds since the platform was seen; infinite for never."""
        return now - self.seen

    def vouched_age(self, now: float) -> float:
        """Return the seconds since either the platform or enough peers vouched for the view."""
        return now - max(self.seen, self.vouched)


@attrs.frozen
class PeerView:
    """A peer's answer about its own view.

    Attributes:
        generation: Generation in force there.
        revision: Highest revision of the platform seen there.
        age_s: Seconds since the platform was seen there; negative for never.
        vouched_age_s: Seconds since its view was vouched for; negative for never.
    """

    generation: int
    revision: int
    age_s: float
    vouched_age_s: float


class ViewEvidence:
    """Collects what shows that the view is current.

    Times are those at which a question was sent, not those of the answers, so that an answer that
    lingered on its way, or in the buffer of a paused process, never makes the view look newer.

    Args:
        failure_domain: Where this entry runs, which a round need not hear from another.
    """

    def __init__(self, failure_domain: str = "") -> None:
        self._failure_domain = failure_domain
        self._freshness = Freshness()
        self._newest_generation = 0
        self._newest_revision = 0

    @property
    def freshness(self) -> Freshness:
        """The evidence so far."""
        return self._freshness

    @property
    def newest_generation(self) -> int:
        """Highest generation heard of, in force here or not."""
        return self._newest_generation

    def applied(self, generation: int) -> None:
        """Record the generation that is in force here."""
        self._newest_generation = max(self._newest_generation, generation)
        self._freshness = attrs.evolve(self._freshness, generation=generation)

    def heard_of(self, generation: int, revision: int) -> None:
        """Record what a peer knows, whether or not it can be fetched yet."""
        self._newest_generation = max(self._newest_generation, generation)
        self._newest_revision = max(self._newest_revision, revision)

    def platform_answered(self, sent: float, revision: int) -> None:
        """Record a watch's answer, after its change was applied.

        An answer of a revision before the newest known one, or while a newer generation is known
        elsewhere, is a stale read and shows nothing.

        Args:
            sent: Monotonic time at which the question was sent.
            revision: The platform's revision in the answer.
        """
        if revision < self._newest_revision:
            return
        if self._newest_generation > self._freshness.generation:
            return
        self._newest_revision = revision
        self._freshness = attrs.evolve(self._freshness, revision=revision)
        self._raise_seen(sent)

    def peer_answered(self, sent: float, view: PeerView) -> None:
        """Record a peer's answer, after its generation was applied.

        Args:
            sent: Monotonic time at which the question was sent.
            view: The answer.
        """
        self.heard_of(view.generation, view.revision)
        if view.generation > self._freshness.generation:
            return
        if view.age_s >= 0:
            self._raise_seen(sent - view.age_s)
        if view.vouched_age_s >= 0:
            self._raise_vouched(sent - view.vouched_age_s)

    def round_ended(self, sent: float, asked: Mapping[str, str], answered: set[str]) -> bool:
        """Record a round of questions to peers, after the answers were recorded.

        Args:
            sent: Monotonic time before the first question of the round.
            asked: Failure domain of each peer that was asked, by address.
            answered: Addresses that answered.

        Returns:
            Whether the round vouches for the view.
        """
        if self._newest_generation > self._freshness.generation:
            return False
        if not self._freshness.generation or not is_quorum(asked, answered, self._failure_domain):
            return False
        self._raise_vouched(sent)
        return True

    def _raise_seen(self, time: float) -> None:
        seen = max(self._freshness.seen, time)
        self._freshness = attrs.evolve(self._freshness, seen=seen)

    def _raise_vouched(self, time: float) -> None:
        vouched = max(self._freshness.vouched, time)
        self._freshness = attrs.evolve(self._freshness, vouched=vouched)


def is_quorum(asked: Mapping[str, str], answered: set[str], own_domain: str = "") -> bool:
    """Return whether the answers of a round are enough to vouch for a view.

    More than half of those asked, the asker included, must have answered, and at least one in each
    failure domain, unless it is the asker's own: so neither a minority nor a failure domain that is
    cut off vouches for itself.

    Args:
        asked: Failure domain of each peer that was asked, by address.
        answered: Addresses that answered.
        own_domain: Failure domain of the asker.
    """
    heard = answered & set(asked)
    if 2 * (len(heard) + 1) <= len(asked) + 1:
        return False
    covered = {own_domain, *(asked[address] for address in heard)}
    return covered >= set(asked.values())
