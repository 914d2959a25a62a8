"""Finds the parts of prompts that explain why backend servers ended.

The end of a server cuts off all requests that it was running, so each end makes suspects of parts
that have nothing to do with it. A part that is the cause is in all of its ends, and no prompt with
it is ever answered; the other parts of its prompts are answered in other prompts, or are in fewer
ends.

This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b

import attrs

from hickoryloom.quarantine.moments import Times, count_moments, find_moments

__all__ = ["SILENCE_S", "Cause", "ServerEnd", "find_causes", "part_keys"]

MIN_ENDS = 3
"""Ends that make a part the cause if it is in more of them than any other part."""

MIN_ENDS_SHARED = 5
"""The same if several parts are in just the same ends: an answered prompt may still tell them
apart."""

MIN_ENDS_ANSWERED = 5
"""The same for a part that was answered before, for which `SILENCE_S` must have passed as well."""

SILENCE_S = 2.0
"""Time without an answer, from the last required end on, after which a part that was answered
before may be the cause. A part that many prompts contain is answered several times a second,
also while servers crash, but not within a burst of ends."""

MAX_PARTS = 32
"""Parts of one prompt that are considered."""

MAX_ID_CHARS = 16


@attrs.frozen
class ServerEnd:
    """The end of a backend server as one instance saw it.

    Attributes:
        server: Identifies the server and its start.
        at: Monotonic time in seconds.
        sent_at: Monotonic time at which the latest of the prompts was sent, in seconds.
        responding: Whether the server had begun to respond to the prompts with these parts.
        parts: Keys of the shared parts of the prompts that were cut off before an event arrived.
    """

    server: str
    at: float
    sent_at: float
    responding: bool
    parts: frozenset[str]


def part_keys(service: str, ids: Iterable[str]) -> tuple[str, ...]:
    """Return bounded keys of the parts of a prompt, as servers of one service see them."""
    distinct = list(dict.fromkeys(ids))[:MAX_PARTS]
    return tuple(f"{service}/{_shorten(id)}" for id in distinct)


@attrs.frozen
class Cause:
    """Why a part is taken for the cause of the ends of servers.

    Attributes:
        from_at: Monotonic time from which it is, if it is not answered until then, in seconds.
        doubtful: Whether requests that are causes themselves explain some of its ends.
    """

    from_at: float
    doubtful: bool


def find_causes(
    ends: Iterable[ServerEnd],
    answered: Mapping[str, float],
    ended_by_requests: Iterable[frozenset[str]] = (),
) -> dict[str, Cause]:
    """Return the parts that cause the ends of servers.

    Args:
        ends: Ends of servers, as seen by any number of instances.
        answered: Monotonic time at which a prompt with a part was last answered, by part; parts
            that were not answered lately are left out.
        ended_by_requests: The servers that each request has ended that is a cause itself.
    """
    candidates = {
        part: times
        for part, times in _times_by_part(ends, answered).items()
        if count_moments(times.values()) >= MIN_ENDS
    }
    by_requests = [servers for servers in ended_by_requests if servers]
    found = {}
    for part in candidates:
        answered_at = answered.get(part)
        cause = _judge(part, candidates, by_requests, answered_at)
        if cause is not None:
            found[part] = cause
    return found


def _judge(
    part: str,
    candidates: Mapping[str, Mapping[str, Times]],
    ended_by_requests: Iterable[frozenset[str]],
    answered_at: float | None,
) -> Cause | None:
    """Return why a part is the cause; None if it isn't in enough ends that nothing else explains.

    A part with more ends does, and so does a request that ended several servers by itself: all of
    its ends count as one, since other requests with the part may be sound.
    """
    times = candidates[part]
    by_requests = [servers for servers in ended_by_requests if not servers.isdisjoint(times)]
    explained: set[str] = set().union(*by_requests)
    required = MIN_ENDS if answered_at is None else MIN_ENDS_ANSWERED
    for other, other_times in candidates.items():
        if len(other_times) > len(times):
            explained.update(other_times)
        elif other != part and other_times.keys() == times.keys():
            required = max(required, MIN_ENDS_SHARED)
    unexplained = [end for server, end in times.items() if server not in explained]
    if count_moments(unexplained) + len(by_requests) < required:
        return None
    from_at = float("-inf")
    if answered_at is not None:
        from_at = find_moments(times.values())[:required][-1] + SILENCE_S
    return Cause(from_at, bool(by_requests))


def _times_by_part(
    ends: Iterable[ServerEnd], answered: Mapping[str, float]
) -> dict[str, dict[str, Times]]:
    """Return the times of each server's end by part and server, without ends before an answer.

    Prompts that a server had not begun to respond to count only if it had begun none.
    """
    by_server: dict[str, list[ServerEnd]] = {}
    for end in ends:
        by_server.setdefault(end.server, []).append(end)
    times: dict[str, dict[str, Times]] = {}
    for server, seen in by_server.items():
        at = min(end.at for end in seen)
        for end in [end for end in seen if end.responding] or seen:
            for part in end.parts:
                if at > answered.get(part, float("-inf")):
                    times.setdefault(part, {})[server] = (at, end.sent_at)
    return times


def _shorten(id: str) -> str:
    if len(id) <= MAX_ID_CHARS:
        return id
    return blake2b(id.encode(), digest_size=MAX_ID_CHARS // 2).hexdigest()
