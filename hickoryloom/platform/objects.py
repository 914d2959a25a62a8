"""Calls on the store's objects, which stand under a kind and a name."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

from hickoryloom.http import JsonAnswer
from hickoryloom.platform.fields import FieldError, flag, integer, records, text
from hickoryloom.store import (
    Change,
    ErrorKind,
    Listing,
    ListingPage,
    ObjectCall,
    PlatformError,
    Versioned,
    WatchBatch,
)
from hickoryloom.verdict import Applied

__all__ = ["PlatformObjects"]

MS_PER_S = 1000
HISTORY_GONE = 410
REJECTED = frozenset((429,))
ERROR_KINDS = {404: ErrorKind.ABSENT, 409: ErrorKind.CONFLICT, 429: ErrorKind.REJECTED}


class PlatformObjects:
    """A key is `kind/name`; an object's version is the store's revision of its last change."""

    def get(self, key: str) -> ObjectCall:
        """Read one object."""
        return ObjectCall("GET", _path(key))

    def list(self, prefix: str, begin: str) -> ObjectCall:
        """Read a part of the objects of one kind."""
        # Despite its name, the field takes the name of the last object of the part before.
        query = f"?{urlencode({'after_revision': begin})}" if begin else ""
        return ObjectCall("GET", f"/objects/{quote(_kind(prefix))}{query}")

    def update(self, key: str, value: Any, if_version: int) -> ObjectCall:
        """Replace or create an object."""
        kind, _, name = key.partition("/")
        if not if_version:
            body = {"metadata": {"name": name}, "spec": value}
            return ObjectCall("POST", f"/objects/{quote(kind)}", body)
        body = {"metadata": {"name": name, "revision": if_version}, "spec": value}
        return ObjectCall("PUT", _path(key), body)

    def delete(self, key: str, if_version: int) -> ObjectCall:
        """Delete an object."""
        return ObjectCall("DELETE", f"{_path(key)}?{urlencode({'revision': if_version})}")

    def watch(self, prefix: str, since: int, timeout_s: float) -> ObjectCall:
        """Wait for changes of objects of one kind."""
        query = urlencode({"watch": since, "wait_ms": int(timeout_s * MS_PER_S)})
        return ObjectCall("GET", f"/objects/{quote(_kind(prefix))}?{query}")

    def is_outage(self, answer: JsonAnswer) -> bool:
        """Return whether an answer tells that the store is out of order, for this instance."""
        return answer.status >= 500 or answer.status in REJECTED

    def check_status(self, answer: JsonAnswer) -> Result[JsonAnswer, PlatformError]:
        """Tell a useful answer from a refusal, which was not applied."""
        if answer.status < 300 or answer.status == HISTORY_GONE:
            return Ok(answer)
        kind = ERROR_KINDS.get(answer.status, ErrorKind.REJECTED)
        version = 0
        if kind is ErrorKind.CONFLICT:
            version = _version_of(answer.body)
        return Err(
            PlatformError(
                kind,
                Applied.NOT_APPLIED,
                f"status {answer.status}",
                retry_after_s=answer.retry_after_s,
                version=version,
            )
        )

    def read_object(self, key: str, answer: JsonAnswer) -> Result[Versioned[Any], PlatformError]:
        """Read one object."""
        try:
            return Ok(_read_object(_kind(key), answer.body))
        except FieldError as error:
            return _unreadable(error, Applied.NOT_APPLIED)

    def read_listing(self, prefix: str, answer: JsonAnswer) -> Result[ListingPage, PlatformError]:
        """Read a part of a listing."""
        kind = _kind(prefix)
        try:
            items = tuple(_read_object(kind, item) for item in records(answer.body, "items"))
            last = items[-1].key.removeprefix(f"{kind}/") if items else ""
            more = flag(answer.body, "has_more", False)
            revision = integer(answer.body, "at")
        except FieldError as error:
            return _unreadable(error, Applied.NOT_APPLIED)
        return Ok(ListingPage(Listing(revision, items), last if more else ""))

    def read_version(self, answer: JsonAnswer) -> Result[int, PlatformError]:
        """Read the version that a write brought."""
        version = _version_of(answer.body)
        if version:
            return Ok(version)
        return _unreadable(FieldError("no revision in the answer to a write"), Applied.UNKNOWN)

    def read_batch(self, prefix: str, answer: JsonAnswer) -> Result[WatchBatch, PlatformError]:
        """Read the changes of a watch."""
        if answer.status == HISTORY_GONE:
            return Ok(WatchBatch(0, (), reset=True))
        kind = _kind(prefix)
        try:
            changes = tuple(_read_change(kind, event) for event in records(answer.body, "events"))
            return Ok(WatchBatch(integer(answer.body, "at"), changes))
        except FieldError as error:
            return _unreadable(error, Applied.NOT_APPLIED)


def _kind(key: str) -> str:
    return key.partition("/")[0]


def _path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"/objects/{quote(kind)}/{quote(name, safe='')}"


def _read_object(kind: str, body: Any) -> Versioned[Any]:
    metadata = body.get("metadata") if isinstance(body, dict) else None
    key = f"{kind}/{text(metadata, 'name')}"
    return Versioned(key, integer(metadata, "revision"), body.get("spec"))


def _read_change(kind: str, event: Any) -> Change:
    gone = flag(event, "deleted", False)
    found = _read_object(kind, event.get("object"))
    return Change(found.key, found.version, None if gone else found.value)


def _version_of(body: Any) -> int:
    """Return the revision of the object in a body, 0 when there is none."""
    metadata = body.get("metadata") if isinstance(body, dict) else None
    revision = metadata.get("revision") if isinstance(metadata, dict) else None
    return revision if type(revision) is int else 0


def _unreadable(error: FieldError, applied: Applied) -> Err[PlatformError]:
    detail = f"answer can't be read: {error}"
    return Err(PlatformError(ErrorKind.UNAVAILABLE, applied, detail))
