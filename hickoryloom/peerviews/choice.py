"""When to ask another instance for its view, and which one. Performs no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import attrs

__all__ = ["OverdueViews", "PeerChoice", "is_view_needed"]

START_S = 0.3
"""Time after the start within which the store is expected to respond, so that nobody is asked at an
ordinary start."""

LATE_S = 0.3
"""Time by which a view is older than the pause between reads allows before others are asked."""

SKIP_S = 1.0
"""Time for which an instance that didn't answer is not asked again: it may be restarting."""

SKIP_OLDER_S = 30.0
"""The same for one that runs a version without this exchange."""


def is_view_needed(view_age_s: float, read_pause_s: float, running_s: float) -> bool:
    """Return whether the view of another instance may be newer than what the store provides.

    Args:
        view_age_s: Age of this instance's own view, in seconds; infinite for none.
        read_pause_s: Pause between reads of the store, in seconds.
        running_s: Seconds since this process started.
    """
    return running_s >= START_S and view_age_s > read_pause_s + LATE_S


@attrs.define
class PeerChoice:
    """Selects the instance to ask: the one whose last view was of use, or one at random.

    Attributes:
        rng: Draws the instance.
    """

    rng: Random
    _preferred: str = ""
    _skip_until: dict[str, float] = attrs.field(factory=dict)

    def choose(self, peers: Sequence[str], now: float) -> str:
        """Return the address of the instance to ask now; empty if there is none."""
        self._skip_until = {peer: at for peer, at in self._skip_until.items() if at > now}
        usable = [peer for peer in peers if peer not in self._skip_until]
        if self._preferred in usable:
            return self._preferred
        return self.rng.choice(usable) if usable else ""

    def record_useful(self, peer: str) -> None:
        """Ask this instance again next time."""
        self._preferred = peer

    def record_useless(self, peer: str) -> None:
        """Ask another instance next time, since this one knew nothing newer."""
        if self._preferred == peer:
            self._preferred = ""

    def record_failed(self, peer: str, now: float, is_older: bool = False) -> None:
        """Don't ask an instance for a while.

        Args:
            peer: Its address.
            now: Monotonic time in seconds.
            is_older: Whether it runs a version that doesn't know the request.
        """
        self.record_useless(peer)
        self._skip_until[peer] = now + (SKIP_OLDER_S if is_older else SKIP_S)


ANSWERS_S = 4.0
"""Time for which an answer counts: a few requests, and less than a view may be trusted."""

MIN_ANSWERS = 3
"""Instances that must have answered, since one or two may be cut off together with this one."""


@attrs.define
class OverdueViews:
    """Whether the other instances have lost the store as well, by their last answers."""

    _answers: dict[str, tuple[float, bool]] = attrs.field(factory=dict)

    def record(self, peer: str, is_overdue: bool, now: float) -> None:
        """Record whether the view of an instance that answered was older than reads allow."""
        self._answers[peer] = (now, is_overdue)

    def are_all_overdue(self, known: int, now: float) -> bool:
        """Return whether no other instance is known to serve callers better than this one.

        Args:
            known: Number of other instances that are known.
            now: Monotonic time in seconds.
        """
        self._answers = {
            peer: answer for peer, answer in self._answers.items() if now - answer[0] < ANSWERS_S
        }
        if len(self._answers) < min(MIN_ANSWERS, max(1, known)):
            return False
        return all(is_overdue for _, is_overdue in self._answers.values())
