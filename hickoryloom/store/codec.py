"""How calls on objects are spelled: the port between the client and one store's protocol."""

from __future__ import annotations

from typing import Any, Protocol
from urllib.parse import quote, urlencode

import attrs
from result import Result

from hickoryloom.http import JsonAnswer
from hickoryloom.store import responses
from hickoryloom.store.messages import Listing, PlatformError, Versioned, WatchBatch

__all__ = ["ListingPage", "ObjectCall", "ObjectCodec", "OwnCodec"]


@attrs.frozen
class ObjectCall:
    """One call as HTTP carries it.

    Attributes:
        method: HTTP method.
        path: Path with query.
        body: JSON value to send; None for no body.
    """

    method: str
    path: str
    body: Any = None


@attrs.frozen
class ListingPage:
    """A part of a listing; `next` names where the next part begins, empty for no further part."""

    listing: Listing
    next: str = ""


class ObjectCodec(Protocol):
    """Spells calls on objects and reads their answers; decides and remembers nothing."""

    def get(self, key: str) -> ObjectCall:
        """Read one object."""

    def list(self, prefix: str, begin: str) -> ObjectCall:
        """Read objects whose key begins with `prefix`, from `begin` on; empty for the first."""

    def update(self, key: str, value: Any, if_version: int) -> ObjectCall:
        """Replace an object that has version `if_version`; 0 creates one."""

    def delete(self, key: str, if_version: int) -> ObjectCall:
        """Delete an object that has version `if_version`."""

    def watch(self, prefix: str, since: int, timeout_s: float) -> ObjectCall:
        """Wait for changes after revision `since`."""

    def is_outage(self, answer: JsonAnswer) -> bool:
        """Return whether an answer tells that the store is out of order."""

    def judge(self, answer: JsonAnswer) -> Result[JsonAnswer, PlatformError]:
        """Tell a useful answer from a refusal, which was not applied."""

    def read_object(self, key: str, answer: JsonAnswer) -> Result[Versioned[Any], PlatformError]:
        """Read one object."""

    def read_listing(self, prefix: str, answer: JsonAnswer) -> Result[ListingPage, PlatformError]:
        """Read a part of a listing."""

    def read_version(self, answer: JsonAnswer) -> Result[int, PlatformError]:
        """Read the version that a write brought."""

    def read_batch(self, prefix: str, answer: JsonAnswer) -> Result[WatchBatch, PlatformError]:
        """Read the changes of a watch."""


class OwnCodec:
    """The protocol of the project's own stand-in."""

    def get(self, key: str) -> ObjectCall:
        """Read one object."""
        return ObjectCall("GET", f"/objects/{quote(key)}")

    def list(self, prefix: str, begin: str) -> ObjectCall:
        """Read all objects at once."""
        return ObjectCall("GET", f"/objects?{urlencode({'prefix': prefix})}")

    def update(self, key: str, value: Any, if_version: int) -> ObjectCall:
        """Replace or create an object."""
        path = f"/objects/{quote(key)}?if_version={if_version}"
        return ObjectCall("POST", path, {"value": value})

    def delete(self, key: str, if_version: int) -> ObjectCall:
        """Delete an object."""
        return ObjectCall("POST", f"/delete/{quote(key)}?if_version={if_version}", {})

    def watch(self, prefix: str, since: int, timeout_s: float) -> ObjectCall:
        """Wait for changes."""
        query = urlencode({"prefix": prefix, "since": since, "timeout": timeout_s})
        return ObjectCall("GET", f"/watch?{query}")

    def is_outage(self, answer: JsonAnswer) -> bool:
        """Return whether an answer tells that the store is out of order."""
        return responses.is_outage(answer)

    def judge(self, answer: JsonAnswer) -> Result[JsonAnswer, PlatformError]:
        """Tell a useful answer from a refusal."""
        return responses.judge(answer)

    def read_object(self, key: str, answer: JsonAnswer) -> Result[Versioned[Any], PlatformError]:
        """Read one object."""
        return responses.read_object(answer)

    def read_listing(self, prefix: str, answer: JsonAnswer) -> Result[ListingPage, PlatformError]:
        """Read the whole listing."""
        return responses.read_listing(answer).map(ListingPage)

    def read_version(self, answer: JsonAnswer) -> Result[int, PlatformError]:
        """Read the version that a write brought."""
        return responses.read_version(answer)

    def read_batch(self, prefix: str, answer: JsonAnswer) -> Result[WatchBatch, PlatformError]:
        """Read the changes of a watch."""
        return responses.read_batch(answer)
