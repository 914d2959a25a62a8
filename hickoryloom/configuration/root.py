"""The root object, which lists the shards of the current generation."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import attrs

from hickoryloom.configuration.shards import StoredRecord

__all__ = ["ROOT_KEY", "Root", "RootChange", "changes_between", "trim_changes"]

ROOT_KEY = "config/root"
FORMAT = 1
MAX_CHANGES = 32
MAX_CHANGES_BYTES = 4096
MAX_CHANGE_BYTES = 2048


@attrs.frozen
class RootChange:
    """The changes of one generation.

    Attributes:
        generation: The generation.
        publish_id: Id of the change, by which a publisher finds its own after a lost response.
        follows: Id of the preceding change. The number alone is not enough: a platform restored
            from a backup may reuse numbers for other generations.
        put: New and changed records by section and key; None if they are too large for the root, so
            that followers have to fetch shards.
        removed: Keys of removed records by section.
    """

    generation: int
    publish_id: str
    follows: str
    put: dict[str, dict[str, StoredRecord]] | None = None
    removed: dict[str, list[str]] = attrs.field(factory=dict)


@attrs.frozen
class Root:
    """One generation of the configuration as stored in the platform.

    Attributes:
        generation: Number of the generation, which increases with each accepted change.
        publish_id: Id of the change that created it.
        documents: Digest of its documents, without issued keys.
        shards: Reference (generation and digest) of each shard by name.
        changes: Changes of the latest generations, oldest first, including this one.
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
            ValueError: The value is malformed.
        """
        try:
            return cls(
                generation=int(value["generation"]),
                publish_id=str(value["publish_id"]),
                documents=str(value["documents"]),
                shards={str(name): str(reference) for name, reference in value["shards"].items()},
                changes=tuple(RootChange(**change) for change in value["changes"]),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"malformed root: {type(error).__name__}: {error}") from error

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

    def generation_made_by(self, publish_id: str) -> int:
        """Return the generation created by `publish_id`, or 0 if not among the latest."""
        for change in self.changes:
            if change.publish_id == publish_id:
                return change.generation
        return 0


def changes_between(root: Root, since: Root) -> tuple[RootChange, ...] | None:
    """Return the changes from the root `since` to `root`, or None if any are missing."""
    changes = tuple(change for change in root.changes if change.generation > since.generation)
    expected = list(range(since.generation + 1, root.generation + 1))
    if not changes or [change.generation for change in changes] != expected:
        return None
    if changes[0].follows != since.publish_id:
        return None
    return None if any(change.put is None for change in changes) else changes


def trim_changes(changes: Iterable[RootChange]) -> tuple[RootChange, ...]:
    """Return the latest changes, with records only as far as the root's size limit allows."""
    trimmed: list[RootChange] = []
    budget = MAX_CHANGES_BYTES
    for change in reversed(tuple(changes)[-MAX_CHANGES:]):
        size = len(json.dumps(attrs.asdict(change)))
        if change.put is not None and (size > MAX_CHANGE_BYTES or size > budget):
            change = RootChange(change.generation, change.publish_id, change.follows)
            budget = 0
        budget -= size if change.put is not None else 0
        trimmed.append(change)
    return tuple(reversed(trimmed))
