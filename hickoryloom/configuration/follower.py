"""Follows the configuration through a watch on the platform and through peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import gevent
import logbook
from result import Err, Ok, Result

from hickoryloom.clock import Clock
from hickoryloom.configuration.follower_state import FollowerState, LoadedShard, decode_shard
from hickoryloom.configuration.freshness import Freshness, FreshnessTracker, PeerView
from hickoryloom.configuration.root import ROOT_KEY, Root
from hickoryloom.configuration.shards import object_key
from hickoryloom.configuration.snapshot import Snapshot
from hickoryloom.logs import log_event
from hickoryloom.store import PlatformError, WatchBatch

__all__ = ["ConfigurationFollower", "PlatformShardSource", "ShardSource"]

WATCH_TIMEOUT_S = 1.2
MIN_WATCH_INTERVAL_S = 0.2
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0

log = logbook.Logger("hickoryloom.configuration")

Subscriber = Callable[[Snapshot, Snapshot], None]


class ShardSource(Protocol):
    """A source from which shards are read."""

    def read(self, name: str, reference: str) -> Result[Any, str]:
        """Return the content of a shard, or the reason why it is unavailable."""


class PlatformShardSource:
    """Reads shards from the platform."""

    def __init__(self, client: Any) -> None:
        self._client = client

    def read(self, name: str, reference: str) -> Result[Any, str]:
        """Return the content of a shard, or the reason why it is unavailable."""
        result = self._client.get(object_key(name, reference))
        return result.map(lambda versioned: versioned.value).map_err(lambda error: error.detail)


class ConfigurationFollower:
    """Keeps the latest generation of the configuration that the platform or any peer has.

    Args:
        client: The platform's client.
        clock: Source of time.
        failure_domain: Failure domain of this entry.
        rng: Randomizes the delays between retries.
        watch_timeout_s: Seconds after which a watch without a change is renewed. It also bounds the
            age of the view, since each response of a watch confirms it.
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
        self._watch_renewal_s = watch_timeout_s
        self._clock = clock
        self._rng = rng or random.Random()
        self._state = FollowerState()
        self._freshness_tracker = FreshnessTracker(failure_domain)
        self._subscribers: list[Subscriber] = []
        self._task: gevent.Greenlet | None = None
        self._watch_revision: int | None = None
        self._watch_timeout_s = watch_timeout_s

    @property
    def snapshot(self) -> Snapshot:
        """The current generation."""
        return self._state.snapshot

    @property
    def freshness(self) -> Freshness:
        """How recently the view was confirmed to be current."""
        return self._freshness_tracker.freshness

    @property
    def freshness_tracker(self) -> FreshnessTracker:
        """Tracker that records responses of the platform and of peers."""
        return self._freshness_tracker

    def subscribe(self, callback: Subscriber) -> None:
        """Call `callback(old, new)` after each new generation; it must not block."""
        self._subscribers.append(callback)

    def start(self) -> None:
        """Start following the configuration."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop following; the last snapshot stays available."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def peer_view(self) -> PeerView:
        """Return this entry's view as reported to a peer."""
        now = self._clock.monotonic()
        freshness = self.freshness
        age_s, confirmed_age_s = freshness.age(now), freshness.confirmed_age(now)
        return PeerView(
            freshness.generation,
            freshness.revision,
            age_s if age_s < float("inf") else -1.0,
            confirmed_age_s if confirmed_age_s < float("inf") else -1.0,
        )

    def root_json(self) -> dict[str, Any] | None:
        """Return the current root, for a peer, or None before the first."""
        return self._state.root.to_json() if self._state.root else None

    def shard_content(self, name: str) -> dict[str, Any] | None:
        """Return the content of a current shard, for a peer, or None."""
        return self._state.shard_content(name)

    def export_bundle(self) -> dict[str, Any]:
        """Return the complete current generation for `apply_bundle`; empty before the first."""
        root = self._state.root
        if root is None:
            return {}
        shards = {name: self._state.shard_content(name) for name in root.shards}
        available = {name: content for name, content in shards.items() if content is not None}
        return {"root": root.to_json(), "shards": available}

    def apply_bundle(self, bundle: Mapping[str, Any]) -> bool:
        """Apply a bundle that a peer exported, if it is newer and complete.

        Returns:
            Whether it was applied.
        """
        if "root" not in bundle:
            return False
        return self.apply_root(bundle["root"], _BundleShardSource(bundle.get("shards", {})))

    def apply_root(self, value: Any, source: ShardSource) -> bool:
        """Apply a root if it is newer, reading missing shards from `source`.

        Returns:
            Whether its generation was applied.
        """
        try:
            root = Root.from_json(value)
        except ValueError as error:
            log_event(log, "root-unsound", detail=str(error))
            return False
        return self._apply_if_newer(root, source)

    def _run(self) -> None:
        failures = 0
        while True:
            started = self._clock.monotonic()
            try:
                result = (
                    self._list_root()
                    if self._watch_revision is None
                    else self._watch_root(self._watch_revision)
                )
                failures = 0 if result.is_ok() else failures + 1
            except Exception:
                log.exception("event=follower-failed")
                failures += 1
            gevent.sleep(self._retry_delay(failures, self._clock.monotonic() - started))

    def _retry_delay(self, failures: int, elapsed_s: float) -> float:
        if not failures:
            return max(0.0, MIN_WATCH_INTERVAL_S - elapsed_s)
        max_delay_s = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2**failures)
        return self._rng.uniform(MIN_RETRY_DELAY_S, max_delay_s)

    def _list_root(self) -> Result[None, PlatformError]:
        # A listing may be a stale read, so it does not confirm the view. The watch that follows
        # immediately does, since it returns all changes after the listing's revision.
        result = self._client.list(ROOT_KEY)
        if result.is_err():
            return Err(result.unwrap_err())
        listing = result.unwrap()
        values = [item.value for item in listing.items if item.key == ROOT_KEY]
        self._apply_root_values(values, listing.revision)
        self._watch_timeout_s = 0.0
        return Ok(None)

    def _watch_root(self, revision: int) -> Result[None, PlatformError]:
        sent_at = self._clock.monotonic()
        result: Result[WatchBatch, PlatformError]
        result = self._client.watch(ROOT_KEY, revision, self._watch_timeout_s)
        if result.is_err():
            return Err(result.unwrap_err())
        batch = result.unwrap()
        if batch.reset:
            self._watch_revision = None
            return Ok(None)
        values = [change.value for change in batch.changes if change.key == ROOT_KEY]
        if self._apply_root_values(values, batch.revision):
            self._freshness_tracker.record_platform_response(sent_at, batch.revision)
        self._watch_timeout_s = self._watch_renewal_s
        return Ok(None)

    def _apply_root_values(self, values: list[Any], revision: int) -> bool:
        if values:
            self.apply_root(values[-1], PlatformShardSource(self._client))
            self._warn_if_older(values[-1])
            if self._is_not_yet_applied(values[-1]):
                self._watch_revision = None
                return False
        self._watch_revision = revision
        return True

    def _warn_if_older(self, value: Any) -> None:
        generation = value.get("generation", 0) if isinstance(value, dict) else 0
        if generation < self.snapshot.generation:
            current = self.snapshot.generation
            log_event(log, "older-generation-dropped", generation=generation, in_force=current)

    def _is_not_yet_applied(self, value: Any) -> bool:
        generation = value.get("generation", 0) if isinstance(value, dict) else 0
        return generation > self.snapshot.generation

    def _apply_if_newer(self, root: Root, source: ShardSource) -> bool:
        if not self._state.is_newer(root):
            return False
        old = self.snapshot
        if self._apply_changes(root):
            self._notify_subscribers(old)
            return True
        fetched = self._fetch_shards(root, source)
        old = self.snapshot
        if fetched is None or not self._state.apply_shards(root, fetched):
            return False
        self._notify_subscribers(old)
        return True

    def _apply_changes(self, root: Root) -> bool:
        try:
            return self._state.apply_changes(root)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log_event(log, "changes-unsound", generation=root.generation, detail=str(error))
            return False

    def _fetch_shards(self, root: Root, source: ShardSource) -> dict[str, LoadedShard] | None:
        fetched: dict[str, LoadedShard] = {}
        for name in self._state.missing(root, {}):
            reference = root.shards[name]
            result = source.read(name, reference)
            if result.is_err():
                log_event(log, "shard-unread", shard=name, detail=result.unwrap_err())
                return None
            try:
                fetched[name] = decode_shard(
                    name, reference, result.unwrap(), _yield_to_other_greenlets
                )
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                log_event(log, "shard-unsound", shard=name, detail=str(error))
                return None
        return fetched

    def _notify_subscribers(self, old: Snapshot) -> None:
        new = self.snapshot
        self._freshness_tracker.record_applied(new.generation)
        log_event(log, "configuration-in-force", generation=new.generation, before=old.generation)
        for subscriber in self._subscribers:
            try:
                subscriber(old, new)
            except Exception:
                log.exception("event=subscriber-failed generation={}", new.generation)


def _yield_to_other_greenlets() -> None:
    gevent.sleep(0)


class _BundleShardSource:
    """Reads shards from an exported bundle."""

    def __init__(self, shards: Mapping[str, Any]) -> None:
        self._shards = shards

    def read(self, name: str, reference: str) -> Result[Any, str]:
        """Return the content of a shard, or an error if the bundle lacks it."""
        if name not in self._shards:
            return Err(f"the bundle lacks shard {name} at {reference}")
        return Ok(self._shards[name])
