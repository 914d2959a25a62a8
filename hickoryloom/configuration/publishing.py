"""Commits configuration changes by a conditional update of the root object."""

from __future__ import annotations

import enum
import json
import random
import uuid
from collections.abc import Callable
from hashlib import sha256
from typing import Any

import attrs
import gevent
from result import Err, Ok, Result

from hickoryloom.config import Fault
from hickoryloom.configuration.root import ROOT_KEY, Root
from hickoryloom.configuration.shards import DIGEST_CHARS
from hickoryloom.configuration.stored import (
    Plan,
    ShardTooLargeError,
    StoredConfiguration,
    UnreadableError,
)
from hickoryloom.store import ErrorKind, PlatformError, Versioned
from hickoryloom.verdict import Applied

__all__ = ["Change", "ChangeError", "ChangeErrorKind", "Publisher", "new_publish_id"]

ATTEMPTS = 20
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
SWEEP_INTERVAL_GENERATIONS = 64

Change = Callable[[StoredConfiguration, Root], "ChangeError | str"]


class ChangeErrorKind(enum.Enum):
    """Why a change was not committed."""

    INVALID = "faulty"
    CONFLICT = "raced"
    ABSENT = "absent"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@attrs.frozen
class ChangeError:
    """A change that was not committed or, for `UNKNOWN`, may have been.

    Attributes:
        kind: Kind of error.
        detail: Message for the operator.
        faults: Faults of the configuration, for `INVALID`.
    """

    kind: ChangeErrorKind
    detail: str
    faults: tuple[Fault, ...] = ()


def new_publish_id() -> str:
    """Return a unique id for a change."""
    return uuid.uuid4().hex


def documents_digest(sections: Any) -> str:
    """Return the digest of the stored form of documents."""
    return sha256(json.dumps(sections, sort_keys=True).encode()).hexdigest()[:DIGEST_CHARS]


class Publisher:
    """Commits changes with optimistic concurrency control, safe with concurrent operators.

    Args:
        client: The platform's client.
        rng: Randomizes the delays between attempts.
        sleep: Function that sleeps for a number of seconds.
        after_generation: Generation that each new one must exceed. Needed after the platform
            was restored from a backup, when entries hold later generations than the platform.
    """

    def __init__(
        self,
        client: Any,
        rng: random.Random | None = None,
        sleep: Callable[[float], Any] = gevent.sleep,
        after_generation: int = 0,
    ) -> None:
        self._client = client
        self._after_generation = after_generation
        self._rng = rng or random.Random()
        self._sleep = sleep

    def apply(self, change: Change, publish_id: str) -> Result[int, ChangeError]:
        """Commit one change; if a response was lost, read the root to learn the outcome.

        Args:
            change: Modifies the stored configuration and returns the documents' digest, or an
                error. It is called again on the new state if another operator committed first.
            publish_id: Unique id of this change.

        Returns:
            The first generation that contains the change.
        """
        root_write_sent = False
        detail = "no attempt made"
        for attempt in range(ATTEMPTS):
            if attempt:
                self._wait_before_retry(attempt)
            outcome = self._attempt(change, publish_id, root_write_sent)
            if isinstance(outcome, int):
                return Ok(outcome)
            if isinstance(outcome, ChangeError):
                return Err(outcome)
            root_write_sent = root_write_sent or outcome.root_write_sent
            detail = outcome.detail
        if root_write_sent:
            detail = f"change {publish_id} may be in force, the platform does not say: {detail}"
            return Err(ChangeError(ChangeErrorKind.UNKNOWN, detail))
        return Err(ChangeError(ChangeErrorKind.UNAVAILABLE, f"not in force: {detail}"))

    def read_root(self) -> Result[tuple[int, Root], PlatformError]:
        """Return the root and its version; version 0 before the first publication."""
        result: Result[Versioned[Any], PlatformError] = self._client.get(ROOT_KEY)
        if result.is_ok():
            versioned = result.unwrap()
            return Ok((versioned.version, Root.from_json(versioned.value)))
        if result.unwrap_err().kind is ErrorKind.ABSENT:
            return Ok((0, Root(0, "", "", {})))
        return Err(result.unwrap_err())

    def _attempt(
        self, change: Change, publish_id: str, root_write_sent: bool
    ) -> int | ChangeError | _RetryableFailure:
        root_result = self.read_root()
        if root_result.is_err():
            return _RetryableFailure(root_result.unwrap_err().detail)
        version, root = root_result.unwrap()
        if generation := root.generation_made_by(publish_id):
            return generation
        try:
            stored = StoredConfiguration(self._client, root)
            outcome = change(stored, root)
            if isinstance(outcome, ChangeError):
                return self._with_earlier_attempt(outcome, root_write_sent)
            is_unchanged = not stored.changed and outcome == root.documents
            if is_unchanged and root.generation > self._after_generation:
                return root.generation
            plan = stored.plan(publish_id, outcome, self._after_generation)
        except UnreadableError as error:
            return _RetryableFailure(error.error.detail)
        except ShardTooLargeError as error:
            return ChangeError(ChangeErrorKind.INVALID, str(error))
        return self._commit(plan, version)

    def _with_earlier_attempt(self, error: ChangeError, root_write_sent: bool) -> ChangeError:
        if not root_write_sent:
            return error
        detail = f"an earlier attempt may have been committed: {error.detail}"
        return attrs.evolve(error, kind=ChangeErrorKind.UNKNOWN, detail=detail)

    def _commit(self, plan: Plan, version: int) -> int | _RetryableFailure:
        for key, content in plan.writes.items():
            result = self._client.create(key, content)
            if result.is_err() and result.unwrap_err().kind is not ErrorKind.CONFLICT:
                return _RetryableFailure(result.unwrap_err().detail)
        result = self._write_root(plan.root, version)
        if result.is_err():
            error = result.unwrap_err()
            return _RetryableFailure(
                error.detail, root_write_sent=error.applied is not Applied.NOT_APPLIED
            )
        self._collect_garbage(plan)
        return plan.root.generation

    def _write_root(self, root: Root, version: int) -> Result[Versioned[Any], PlatformError]:
        if version:
            return self._client.update(ROOT_KEY, root.to_json(), version)
        return self._client.create(ROOT_KEY, root.to_json())

    def _collect_garbage(self, plan: Plan) -> None:
        """Delete shards that no root can reference again.

        A reference contains the generation for which its shard was written, so a shard of a
        replaced root is never referenced again. A shard written for a past generation whose root
        does not reference it can't become current either: the update of its root must conflict.
        """
        for key in plan.obsolete_keys:
            self._client.delete(key, 1)
        if plan.root.generation % SWEEP_INTERVAL_GENERATIONS == 0:
            self.sweep()

    def sweep(self) -> int:
        """Delete shards of abandoned attempts and return their number."""
        listing = self._client.list("config/shards/")
        root_result = self.read_root()
        if listing.is_err() or root_result.is_err():
            return 0
        _, root = root_result.unwrap()
        referenced = {f"config/shards/{name}-{ref}" for name, ref in root.shards.items()}
        unreferenced = [
            item
            for item in listing.unwrap().items
            if item.key not in referenced and _generation_of(item.key) <= root.generation
        ]
        for item in unreferenced:
            self._client.delete(item.key, item.version)
        return len(unreferenced)

    def _wait_before_retry(self, attempt: int) -> None:
        max_delay_s = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2**attempt)
        self._sleep(self._rng.uniform(MIN_RETRY_DELAY_S, max_delay_s))


@attrs.frozen
class _RetryableFailure:
    """An attempt that failed, or whose outcome the next attempt determines from the root."""

    detail: str
    root_write_sent: bool = False


def _generation_of(key: str) -> int:
    return int(key.rsplit("-", 2)[1])
