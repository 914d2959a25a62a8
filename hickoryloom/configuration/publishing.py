"""Puts changes of the configuration in force by one conditional update of the root."""

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
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
SWEEP_EVERY_GENERATIONS = 64

Change = Callable[[StoredConfiguration, Root], "ChangeError | str"]


class ChangeErrorKind(enum.Enum):
    """Why a change was not put in force."""

    FAULTY = "faulty"
    RACED = "raced"
    ABSENT = "absent"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@attrs.frozen
class ChangeError:
    """A change that was not put in force; for `UNKNOWN` it may be.

    Attributes:
        kind: Why.
        detail: A sentence for the operator.
        faults: What is wrong with the configuration, for `FAULTY`.
    """

    kind: ChangeErrorKind
    detail: str
    faults: tuple[Fault, ...] = ()


def new_publish_id() -> str:
    """Return an id that no other change has."""
    return uuid.uuid4().hex


def documents_digest(sections: Any) -> str:
    """Return the digest of the documents' stored form."""
    return sha256(json.dumps(sections, sort_keys=True).encode()).hexdigest()[:DIGEST_CHARS]


class Publisher:
    """Makes one change at a time, against any number of other operators.

    Args:
        client: The platform's client.
        rng: Spreads the pauses between attempts.
        sleep: Pauses for some seconds.
        after: Each new generation is above this one too, for when the platform was restored from a
            backup and entries hold a later generation than it does.
    """

    def __init__(
        self,
        client: Any,
        rng: random.Random | None = None,
        sleep: Callable[[float], Any] = gevent.sleep,
        after: int = 0,
    ) -> None:
        self._client = client
        self._after = after
        self._rng = rng or random.Random()
        self._sleep = sleep

    def apply(self, change: Change, publish_id: str) -> Result[int, ChangeError]:
        """Put one change in force and settle a lost answer by reading it back.

        Args:
            change: Alters the stored configuration and returns the documents' digest, or why it
                can't be made. It is asked again on the new state when another operator was first.
            publish_id: Unique to this change.

        Returns:
            The generation in which the change is in force.
        """
        sent = False
        detail = "no attempt made"
        for attempt in range(ATTEMPTS):
            if attempt:
                self._pause(attempt)
            outcome = self._attempt(change, publish_id, sent)
            if isinstance(outcome, int):
                return Ok(outcome)
            if isinstance(outcome, ChangeError):
                return Err(outcome)
            sent = sent or outcome.sent
            detail = outcome.detail
        if sent:
            detail = f"change {publish_id} may be in force, the platform does not say: {detail}"
            return Err(ChangeError(ChangeErrorKind.UNKNOWN, detail))
        return Err(ChangeError(ChangeErrorKind.UNAVAILABLE, f"not in force: {detail}"))

    def read_root(self) -> Result[tuple[int, Root], PlatformError]:
        """Return the root's version and the root; version 0 before the first publication."""
        answer: Result[Versioned[Any], PlatformError] = self._client.get(ROOT_KEY)
        if answer.is_ok():
            found = answer.unwrap()
            return Ok((found.version, Root.from_json(found.value)))
        if answer.unwrap_err().kind is ErrorKind.ABSENT:
            return Ok((0, Root(0, "", "", {})))
        return Err(answer.unwrap_err())

    def _attempt(
        self, change: Change, publish_id: str, sent: bool
    ) -> int | ChangeError | _TryAgain:
        read = self.read_root()
        if read.is_err():
            return _TryAgain(read.unwrap_err().detail)
        version, root = read.unwrap()
        if generation := root.made_by(publish_id):
            return generation
        try:
            stored = StoredConfiguration(self._client, root)
            outcome = change(stored, root)
            if isinstance(outcome, ChangeError):
                return self._told(outcome, sent)
            is_same = not stored.changed and outcome == root.documents
            if is_same and root.generation > self._after:
                return root.generation
            plan = stored.plan(publish_id, outcome, self._after)
        except UnreadableError as error:
            return _TryAgain(error.error.detail)
        except ShardTooLargeError as error:
            return ChangeError(ChangeErrorKind.FAULTY, str(error))
        return self._put_in_force(plan, version)

    def _told(self, error: ChangeError, sent: bool) -> ChangeError:
        if not sent:
            return error
        detail = f"an earlier attempt may have been in force before: {error.detail}"
        return attrs.evolve(error, kind=ChangeErrorKind.UNKNOWN, detail=detail)

    def _put_in_force(self, plan: Plan, version: int) -> int | _TryAgain:
        for key, content in plan.writes.items():
            answer = self._client.create(key, content)
            if answer.is_err() and answer.unwrap_err().kind is not ErrorKind.CONFLICT:
                return _TryAgain(answer.unwrap_err().detail)
        answer = self._write_root(plan.root, version)
        if answer.is_err():
            error = answer.unwrap_err()
            return _TryAgain(error.detail, sent=error.applied is not Applied.NOT_APPLIED)
        self._collect_garbage(plan)
        return plan.root.generation

    def _write_root(self, root: Root, version: int) -> Result[Versioned[Any], PlatformError]:
        if version:
            return self._client.update(ROOT_KEY, root.to_json(), version)
        return self._client.create(ROOT_KEY, root.to_json())

    def _collect_garbage(self, plan: Plan) -> None:
        """Delete what no root can refer to again.

        A reference holds the generation that it was made for, so a shard that a replaced root
        referred to is never taken up again; and one made for a generation that has passed without
        a reference to it can no longer be put in force, since its root's update must conflict.
        """
        for key in plan.retired:
            self._client.delete(key, 1)
        if plan.root.generation % SWEEP_EVERY_GENERATIONS == 0:
            self.sweep()

    def sweep(self) -> int:
        """Delete shards of abandoned attempts and return how many."""
        listing = self._client.list("config/shards/")
        read = self.read_root()
        if listing.is_err() or read.is_err():
            return 0
        _, root = read.unwrap()
        in_force = {f"config/shards/{name}-{ref}" for name, ref in root.shards.items()}
        dead = [
            item
            for item in listing.unwrap().items
            if item.key not in in_force and _made_for(item.key) <= root.generation
        ]
        for item in dead:
            self._client.delete(item.key, item.version)
        return len(dead)

    def _pause(self, attempt: int) -> None:
        longest = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**attempt)
        self._sleep(self._rng.uniform(FIRST_PAUSE_S, longest))


@attrs.frozen
class _TryAgain:
    """An attempt that led to nothing, or whose outcome the next attempt reads back."""

    detail: str
    sent: bool = False


def _made_for(key: str) -> int:
    return int(key.rsplit("-", 2)[1])
