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

from hickoryloom.quarantine.moments import Times, count_moments

__all__ = ["ServerEnd", "find_causes", "part_keys"]

MIN_ENDS = 3
"""Ends that make a part the cause if it is in more of them than any other part."""

MIN_ENDS_SHARED = 5
"""The same if several parts are in just the same ends: an answered prompt may still tell them
apart."""

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


def find_causes(
    ends: Iterable[ServerEnd],
    answered: Mapping[str, float],
    ended_by_requests: Iterable[frozenset[str]] = (),
) -> frozenset[str]:
    """Return the parts that cause the ends of servers.

    Args:
        ends: Ends of servers, as seen by any number of instances.
        answered: Monotonic time at which a prompt with a part was last answered, by part.
        ended_by_requests: The servers that each request has ended that is a cause itself.
    """
    candidates = {
        part: times
        for part, times in _times_by_part(ends, answered).items()
        if count_moments(times.values()) >= MIN_ENDS
    }
    by_requests = [servers for servers in ended_by_requests if servers]
    return frozenset(part for part in candidates if _is_cause(part, candidates, by_requests))


def _is_cause(
    part: str,
    candidates: Mapping[str, Mapping[str, Times]],
    ended_by_requests: Iterable[frozenset[str]],
) -> bool:
    """Return whether a part is in enough ends that nothing else explains better.

    A part with more ends does, and so does a request that ended several servers by itself: all of
    its ends count as one, since other requests with the part may be sound.
    """
    times = candidates[part]
    by_requests = [servers for servers in ended_by_requests if not servers.isdisjoint(times)]
    explained: set[str] = set().union(*by_requests)
    required = MIN_ENDS
    for other, other_times in candidates.items():
        if len(other_times) > len(times):
            explained.update(other_times)
        elif other != part and other_times.keys() == times.keys():
            required = MIN_ENDS_SHARED
    unexplained = [end for server, end in times.items() if server not in explained]
    return count_moments(unexplained) + len(by_requests) >= required


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
