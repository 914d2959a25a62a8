"""Codec of the object store, which identifies objects by kind and name."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

from hickoryloom.http import JsonResponse, Parts, Unreadable, decode_json_parts
from hickoryloom.platform.fields import FieldError, get_bool, get_int, get_list, get_str
from hickoryloom.store import (
    Change,
    ErrorKind,
    Listing,
    ListingPage,
    ObjectCall,
    PlatformError,
    Versioned,
    WatchBatch,
    join_version,
    split_version,
)
from hickoryloom.verdict import Applied

__all__ = ["PlatformObjects"]

PARTS = Parts(
    frozenset(("items", "events", "object", "metadata")), frozenset(("metadata", "object"))
)
MS_PER_S = 1000
HISTORY_GONE = 410
UNAVAILABLE_STATUSES = frozenset((429,))
MAX_REVISION = 2**63 - 1
ERA_HEADER = "store-era"
ERA = re.compile(r"[0-9]{1,9}")
ERROR_KINDS = {404: ErrorKind.ABSENT, 409: ErrorKind.CONFLICT, 429: ErrorKind.REJECTED}


class PlatformObjects:
    """A key is `kind/name`; the version of an object joins the store's era and the revision of its
    last change.
    """

    def decode(self, body: bytes) -> Any:
        """Decode the body of a response."""
        return decode_json_parts(body, PARTS)

    def get(self, key: str) -> ObjectCall:
        """Read one object."""
        return ObjectCall("GET", _path(key))

    def list(self, prefix: str, page_token: str) -> ObjectCall:
        """Read one page of the objects of a kind."""
        # Despite its name, the parameter is the name of the last object of the previous page.
        query = f"?{urlencode({'after_revision': _encode_name(page_token)})}" if page_token else ""
        return ObjectCall("GET", f"/objects/{quote(_kind(prefix))}{query}")

    def update(self, key: str, value: Any, if_version: int) -> ObjectCall:
        """Replace or create an object."""
        kind, _, name = key.partition("/")
        if not if_version:
            body = {"metadata": {"name": name}, "spec": value}
            return ObjectCall("POST", f"/objects/{quote(kind)}", body)
        revision = split_version(if_version)[1]
        body = {"metadata": {"name": name, "revision": revision}, "spec": value}
        return ObjectCall("PUT", _path(key), body)

    def delete(self, key: str, if_version: int) -> ObjectCall:
        """Delete an object."""
        return ObjectCall(
            "DELETE", f"{_path(key)}?{urlencode({'revision': split_version(if_version)[1]})}"
        )

    def watch(self, prefix: str, since: int, timeout_s: float) -> ObjectCall:
        """Wait for changes of objects of a kind."""
        revision = split_version(since)[1]
        query = urlencode({"watch": revision, "wait_ms": int(timeout_s * MS_PER_S)})
        return ObjectCall("GET", f"/objects/{quote(_kind(prefix))}?{query}")

    def read_era(self, response: JsonResponse) -> int | None:
        """Return the era of the store that a response tells; None if it tells none."""
        value = response.headers.get(ERA_HEADER, "").strip()
        return int(value) if ERA.fullmatch(value) else None

    def is_outage(self, response: JsonResponse) -> bool:
        """Return whether a response indicates that the store is unavailable to this instance."""
        return response.status >= 500 or response.status in UNAVAILABLE_STATUSES

    def check_status(self, response: JsonResponse) -> Result[JsonResponse, PlatformError]:
        """Turn an error status into an error; a request with an error status was not applied."""
        if response.status < 300 or response.status == HISTORY_GONE:
            return Ok(response)
        kind = ERROR_KINDS.get(response.status, ErrorKind.REJECTED)
        version = 0
        if kind is ErrorKind.CONFLICT:
            version = self._read_version(response)
        return Err(
            PlatformError(
                kind,
                Applied.NOT_APPLIED,
                f"status {response.status}",
                retry_after_s=response.retry_after_s,
                version=version,
            )
        )

    def read_object(
        self, key: str, response: JsonResponse
    ) -> Result[Versioned[Any], PlatformError]:
        """Decode one object."""
        try:
            return Ok(_read_object(_kind(key), response.body, self._era(response)))
        except FieldError as error:
            return _decode_error(error, Applied.NOT_APPLIED)

    def read_listing(
        self, prefix: str, response: JsonResponse
    ) -> Result[ListingPage, PlatformError]:
        """Decode one page of a listing."""
        kind, era = _kind(prefix), self._era(response)
        try:
            bodies = get_list(response.body, "items")
            has_more = get_bool(response.body, "has_more", False)
            revision = join_version(era, _get_revision(response.body, "at"))
            next_token = _last_name(bodies) if has_more and bodies else ""
        except FieldError as error:
            return _decode_error(error, Applied.NOT_APPLIED)
        items = tuple(_read_readable(kind, bodies, era))
        return Ok(ListingPage(Listing(revision, items, len(bodies) - len(items)), next_token))

    def read_version(self, response: JsonResponse) -> Result[int, PlatformError]:
        """Decode the new version of a written object."""
        version = self._read_version(response)
        if version:
            return Ok(version)
        return _decode_error(FieldError("the response to a write has no revision"), Applied.UNKNOWN)

    def read_batch(self, prefix: str, response: JsonResponse) -> Result[WatchBatch, PlatformError]:
        """Decode the changes returned by a watch."""
        if response.status == HISTORY_GONE:
            return Ok(WatchBatch(0, (), reset=True))
        kind, era = _kind(prefix), self._era(response)
        try:
            events = get_list(response.body, "events")
            revision = join_version(era, _get_revision(response.body, "at"))
        except FieldError as error:
            return _decode_error(error, Applied.NOT_APPLIED)
        return Ok(WatchBatch(revision, tuple(_read_changes(kind, events, era))))

    def _era(self, response: JsonResponse) -> int:
        return self.read_era(response) or 0

    def _read_version(self, response: JsonResponse) -> int:
        """Return the version of the object in a response; 0 if there is none."""
        revision = _read_revision(response.body)
        return join_version(self._era(response), revision) if revision else 0


def _encode_name(name: str) -> bytes:
    """Return the bytes of a name, also if they are no UTF-8."""
    try:
        return name.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        return name.encode("utf-8", "surrogatepass")


def _kind(key: str) -> str:
    return key.partition("/")[0]


def _path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"/objects/{quote(kind)}/{quote(name, safe='')}"


def _read_object(kind: str, body: Any, era: int) -> Versioned[Any]:
    metadata = body.get("metadata") if isinstance(body, dict) else None
    key = f"{kind}/{get_str(metadata, 'name')}"
    value = body.get("spec")
    if isinstance(value, Unreadable):
        value = None
    return Versioned(key, join_version(era, _get_revision(metadata, "revision")), value)


def _read_readable(kind: str, bodies: list[Any], era: int) -> Iterator[Versioned[Any]]:
    """Decode objects, without those whose name or revision can't be read."""
    for body in bodies:
        try:
            yield _read_object(kind, body, era)
        except FieldError:
            continue


def _read_changes(kind: str, events: list[Any], era: int) -> Iterator[Change]:
    """Decode changes, without those of objects whose name or revision can't be read."""
    for event in events:
        try:
            deleted = get_bool(event, "deleted", False)
            changed = _read_object(kind, event.get("object"), era)
        except FieldError:
            continue
        yield Change(changed.key, changed.version, None if deleted else changed.value)


def _last_name(bodies: list[Any]) -> str:
    """Return the name of the last object of a page, after which the next one begins.

    Raises:
        FieldError: It can't be read.
    """
    metadata = bodies[-1].get("metadata") if isinstance(bodies[-1], dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    text = name.text if isinstance(name, Unreadable) else name
    if not isinstance(text, str) or not text:
        raise FieldError("the last object of a page has no name")
    return text


def _read_revision(body: Any) -> int:
    """Return the revision of the object in a body; 0 if there is none."""
    metadata = body.get("metadata") if isinstance(body, dict) else None
    revision = metadata.get("revision") if isinstance(metadata, dict) else None
    return revision if type(revision) is int and 0 <= revision <= MAX_REVISION else 0


def _get_revision(source: Any, name: str) -> int:
    revision = get_int(source, name)
    if revision < 0:
        raise FieldError(f"field {name!r} is negative")
    return revision


def _decode_error(error: FieldError, applied: Applied) -> Err[PlatformError]:
    detail = f"unreadable response: {error}"
    return Err(PlatformError(ErrorKind.UNAVAILABLE, applied, detail))
