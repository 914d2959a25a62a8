"""The root object: which shards make up the generation in force."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import attrs

from hickoryloom.configuration.shards import StoredRecord

__all__ = ["ROOT_KEY", "Root", "RootChange", "covering_changes", "trim_changes"]

ROOT_KEY = "config/root"
FORMAT = 1
MAX_CHANGES = 32
MAX_CHANGES_BYTES = 4096
MAX_CHANGE_BYTES = 2048


@attrs.frozen
class RootChange:
    """What one generation changed.

    Attributes:
        generation: The generation.
        publish_id: Tells who made it, so that a lost answer can be settled.
        follows: Id of the change that it was made upon; a platform restored from a backup may have
            other generations of the same numbers.
        put: New and changed records by section and key; None when they are too large to be told
            here, so that followers fetch shards.
        removed: Keys of removed records by section.
    """

    generation: int
    publish_id: str
    follows: str
    put: dict[str, dict[str, StoredRecord]] | None = None
    removed: dict[str, list[str]] = attrs.field(factory=dict)


@attrs.frozen
class Root:
    """One generation of the configuration as it stands in the platform.

    Attributes:
        generation: Counts up by one with each accepted change.
        publish_id: Tells who made it.
        documents: Digest of the documents that it came from, without issued keys.
        shards: Reference (generation and digest) of each shard by name.
        changes: The latest generations, oldest first, this one last.
    """

    generation: int
    publish_id: str
    documents: str
    shards: dict[str, str]
    changes: tuple[RootChange, ...] = ()

    @classmethod
    def from_json(cls, value: Any) -> Root:
        """Build a root from its JSON form.

        Raises:
            ValueError: The form is not sound.
        """
        try:
            return cls(
                generation=int(value["generation"]),
                publish_id=str(value["publish_id"]),
                documents=str(value["documents"]),
                shards={str(name): str(ref) for name, ref in value["shards"].items()},
                changes=tuple(RootChange(**change) for change in value["changes"]),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"unsound root: {type(error).__name__}: {error}") from error

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "format": FORMAT,
            "generation": self.generation,
            "publish_id": self.publish_id,
            "documents": self.documents,
            "shards": self.shards,
            "changes": [attrs.asdict(change) for change in self.changes],
        }

    def made_by(self, publish_id: str) -> int:
        """Return the generation that `publish_id` made, 0 when it is none of the latest."""
        for change in self.changes:
            if change.publish_id == publish_id:
                return change.generation
        return 0


def covering_changes(root: Root, since: Root) -> tuple[RootChange, ...] | None:
    """Return the changes that lead from the root `since` to `root`, None if some lack."""
    changes = tuple(change for change in root.changes if change.generation > since.generation)
    wanted = list(range(since.generation + 1, root.generation + 1))
    if not changes or [change.generation for change in changes] != wanted:
        return None
    if changes[0].follows != since.publish_id:
        return None
    return None if any(change.put is None for change in changes) else changes


def trim_changes(changes: Iterable[RootChange]) -> tuple[RootChange, ...]:
    """Keep the latest changes, and their records as far as a small root allows."""
    kept: list[RootChange] = []
    budget = MAX_CHANGES_BYTES
    for change in reversed(tuple(changes)[-MAX_CHANGES:]):
        size = len(json.dumps(attrs.asdict(change)))
        if change.put is not None and (size > MAX_CHANGE_BYTES or size > budget):
            change = RootChange(change.generation, change.publish_id, change.follows)
            budget = 0
        budget -= size if change.put is not None else 0
        kept.append(change)
    return tuple(reversed(kept))
