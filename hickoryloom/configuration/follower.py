"""Follows the configuration: by watch, and by what peers know."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import gevent
import logbook
from result import Err, Ok, Result

from hickoryloom.clock import Clock
from hickoryloom.configuration.follower_state import FollowerState, HeldShard, read_shard
from hickoryloom.configuration.freshness import Freshness, PeerView, ViewEvidence
from hickoryloom.configuration.root import ROOT_KEY, Root
from hickoryloom.configuration.shards import object_key
from hickoryloom.configuration.snapshot import Snapshot
from hickoryloom.logs import log_event
from hickoryloom.store import PlatformError, WatchBatch

__all__ = ["ConfigurationFollower", "PlatformShards", "ShardSource"]

WATCH_TIMEOUT_S = 1.2
MIN_WATCH_SPACING_S = 0.2
FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 1.0

log = logbook.Logger("hickoryloom.configuration")

Subscriber = Callable[[Snapshot, Snapshot], None]


class ShardSource(Protocol):
    """Where shards are read from."""

    def read(self, name: str, reference: str) -> Result[Any, str]:
        """Return a shard's content, or why it can't be had."""


class PlatformShards:
    """Reads shards from the platform."""

    def __init__(self, client: Any) -> None:
        self._client = client

    def read(self, name: str, reference: str) -> Result[Any, str]:
        """Return a shard's content, or why it can't be had."""
        answer = self._client.get(object_key(name, reference))
        return answer.map(lambda found: found.value).map_err(lambda error: error.detail)


class ConfigurationFollower:
    """Keeps the newest generation that the platform or any peer is known to have.

    Args:
        client: The platform's client.
        clock: Source of time.
        failure_domain: Where this entry runs.
        rng: Spreads retries.
        watch_timeout_s: Seconds after which a watch without a change is renewed; also how old the
            evidence for the view may get.
    """

    def __init__(
        self,
        client: Any,
        clock: Clock,
        failure_domain: str = "",
        rng: random.Random | None = None,
        watch_timeout_s: float = WATCH_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._renew_after_s = watch_timeout_s
        self._clock = clock
        self._rng = rng or random.Random()
        self._state = FollowerState()
        self._evidence = ViewEvidence(failure_domain)
        self._subscribers: list[Subscriber] = []
        self._task: gevent.Greenlet | None = None
        self._since: int | None = None
        self._watch_timeout_s = watch_timeout_s

    @property
    def snapshot(self) -> Snapshot:
        """The generation in force."""
        return self._state.snapshot

    @property
    def freshness(self) -> Freshness:
        """How well the view is founded."""
        return self._evidence.freshness

    @property
    def evidence(self) -> ViewEvidence:
        """Where peers' answers about their views are recorded."""
        return self._evidence

    def subscribe(self, callback: Subscriber) -> None:
        """Call `callback(old, new)` right after each new generation; it must not block."""
        self._subscribers.append(callback)

    def start(self) -> None:
        """Begin to follow."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop following; the snapshot stays."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def peer_view(self) -> PeerView:
        """Return what this entry tells a peer about its view."""
        now = self._clock.monotonic()
        fresh = self.freshness
        age_s, vouched_age_s = fresh.age(now), fresh.vouched_age(now)
        return PeerView(
            fresh.generation,
            fresh.revision,
            age_s if age_s < float("inf") else -1.0,
            vouched_age_s if vouched_age_s < float("inf") else -1.0,
        )

    def root_json(self) -> dict[str, Any] | None:
        """Return the root in force, for a peer, or None before the first."""
        return self._state.root.to_json() if self._state.root else None

    def shard_content(self, name: str) -> dict[str, Any] | None:
        """Return the content of a shard in force, for a peer, or None."""
        return self._state.shard_content(name)

    def export(self) -> dict[str, Any]:
        """Return the whole generation in force, for `offer`; empty before the first."""
        root = self._state.root
        if root is None:
            return {}
        shards = {name: self._state.shard_content(name) for name in root.shards}
        held = {name: content for name, content in shards.items() if content is not None}
        return {"root": root.to_json(), "shards": held}

    def offer(self, bundle: Mapping[str, Any]) -> bool:
        """Apply what a peer exported, if it is newer and whole.

        Returns:
            Whether it came in force.
        """
        if "root" not in bundle:
            return False
        return self.offer_root(bundle["root"], _BundleShards(bundle.get("shards", {})))

    def offer_root(self, value: Any, source: ShardSource) -> bool:
        """Apply a root if it is newer, with shards from `source` where they are needed.

        Returns:
            Whether its generation came in force.
        """
        try:
            root = Root.from_json(value)
        except ValueError as error:
            log_event(log, "root-unsound", detail=str(error))
            return False
        return self._advance(root, source)

    def _run(self) -> None:
        failures = 0
        while True:
            began = self._clock.monotonic()
            try:
                answer = self._list() if self._since is None else self._watch(self._since)
                failures = 0 if answer.is_ok() else failures + 1
            except Exception:
                log.exception("event=follower-failed")
                failures += 1
            gevent.sleep(self._pause(failures, self._clock.monotonic() - began))

    def _pause(self, failures: int, spent_s: float) -> float:
        if not failures:
            return max(0.0, MIN_WATCH_SPACING_S - spent_s)
        longest = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2**failures)
        return self._rng.uniform(FIRST_RETRY_S, longest)

    def _list(self) -> Result[None, PlatformError]:
        # A listing may be a stale read, so it shows nothing about the view's age; the watch that
        # follows at once does, since it tells all changes after the listing's revision.
        answer = self._client.list(ROOT_KEY)
        if answer.is_err():
            return Err(answer.unwrap_err())
        listing = answer.unwrap()
        values = [item.value for item in listing.items if item.key == ROOT_KEY]
        self._take(values, listing.revision)
        self._watch_timeout_s = 0.0
        return Ok(None)

    def _watch(self, since: int) -> Result[None, PlatformError]:
        sent = self._clock.monotonic()
        answer: Result[WatchBatch, PlatformError]
        answer = self._client.watch(ROOT_KEY, since, self._watch_timeout_s)
        if answer.is_err():
            return Err(answer.unwrap_err())
        batch = answer.unwrap()
        if batch.reset:
            self._since = None
            return Ok(None)
        values = [change.value for change in batch.changes if change.key == ROOT_KEY]
        if self._take(values, batch.revision):
            self._evidence.platform_answered(sent, batch.revision)
        self._watch_timeout_s = self._renew_after_s
        return Ok(None)

    def _take(self, values: list[Any], revision: int) -> bool:
        if values:
            self.offer_root(values[-1], PlatformShards(self._client))
            self._warn_if_older(values[-1])
            if self._is_behind(values[-1]):
                self._since = None
                return False
        self._since = revision
        return True

    def _warn_if_older(self, value: Any) -> None:
        generation = value.get("generation", 0) if isinstance(value, dict) else 0
        if generation < self.snapshot.generation:
            held = self.snapshot.generation
            log_event(log, "older-generation-dropped", generation=generation, in_force=held)

    def _is_behind(self, value: Any) -> bool:
        generation = value.get("generation", 0) if isinstance(value, dict) else 0
        return generation > self.snapshot.generation

    def _advance(self, root: Root, source: ShardSource) -> bool:
        if not self._state.is_newer(root):
            return False
        old = self.snapshot
        if self._apply_changes(root):
            self._announce(old)
            return True
        fetched = self._fetch(root, source)
        old = self.snapshot
        if fetched is None or not self._state.apply_shards(root, fetched):
            return False
        self._announce(old)
        return True

    def _apply_changes(self, root: Root) -> bool:
        try:
            return self._state.apply_changes(root)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log_event(log, "changes-unsound", generation=root.generation, detail=str(error))
            return False

    def _fetch(self, root: Root, source: ShardSource) -> dict[str, HeldShard] | None:
        fetched: dict[str, HeldShard] = {}
        for name in self._state.missing(root, {}):
            reference = root.shards[name]
            answer = source.read(name, reference)
            if answer.is_err():
                log_event(log, "shard-unread", shard=name, detail=answer.unwrap_err())
                return None
            try:
                fetched[name] = read_shard(name, reference, answer.unwrap(), _let_others_run)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                log_event(log, "shard-unsound", shard=name, detail=str(error))
                return None
        return fetched

    def _announce(self, old: Snapshot) -> None:
        new = self.snapshot
        self._evidence.applied(new.generation)
        log_event(log, "configuration-in-force", generation=new.generation, before=old.generation)
        for subscriber in self._subscribers:
            try:
                subscriber(old, new)
            except Exception:
                log.exception("event=subscriber-failed generation={}", new.generation)


def _let_others_run() -> None:
    gevent.sleep(0)


class _BundleShards:
    """Reads shards from an exported bundle."""

    def __init__(self, shards: Mapping[str, Any]) -> None:
        self._shards = shards

    def read(self, name: str, reference: str) -> Result[Any, str]:
        """Return a shard's content, or that the bundle lacks it."""
        if name not in self._shards:
            return Err(f"the bundle lacks {name} at {reference}")
        return Ok(self._shards[name])
