"""Encoding of object store requests: the interface between the client and a store protocol."""

from __future__ import annotations

from typing import Any, Protocol
from urllib.parse import quote, urlencode

import attrs
from result import Result

from hickoryloom.http import JsonResponse, Parts, decode_json_parts
from hickoryloom.store import responses
from hickoryloom.store.messages import Listing, PlatformError, Versioned, WatchBatch

__all__ = ["DefaultCodec", "ListingPage", "ObjectCall", "ObjectCodec"]

PARTS = Parts(frozenset(("items", "changes", "backends")), frozenset(("key", "id")))


@attrs.frozen
class ObjectCall:
    """An HTTP request on the object store.

    Attributes:
        method: HTTP method.
        path: Path with query string.
        body: JSON value of the request body; None for no body.
    """

    method: str
    path: str
    body: Any = None


@attrs.frozen
class ListingPage:
    """One page of a listing; `next_token` selects the next page and is empty for the last one."""

    listing: Listing
    next_token: str = ""


class ObjectCodec(Protocol):
    """Encodes requests on objects and decodes the responses; keeps no state."""

    def decode(self, body: bytes) -> Any:
        """Decode the body of a response; objects that can't be read don't affect the others.

        Raises:
            ValueError: What surrounds the objects can't be read.
        """

    def get(self, key: str) -> ObjectCall:
        """Read one object."""

    def list(self, prefix: str, page_token: str) -> ObjectCall:
        """Read one page of the objects under `prefix`; an empty `page_token` is the first page."""

    def update(self, key: str, value: Any, if_version: int) -> ObjectCall:
        """Replace an object at version `if_version`; 0 creates the object."""

    def delete(self, key: str, if_version: int) -> ObjectCall:
        """Delete an object at version `if_version`."""

    def watch(self, prefix: str, since: int, timeout_s: float) -> ObjectCall:
        """Wait for changes after revision `since`."""

    def read_era(self, response: JsonResponse) -> int | None:
        """Return the era of the store that a response tells; None if it tells none."""

    def is_outage(self, response: JsonResponse) -> bool:
        """Return whether a response indicates that the store is unavailable."""

    def check_status(self, response: JsonResponse) -> Result[JsonResponse, PlatformError]:
        """Turn an error status into an error; a request with an error status was not applied."""

    def read_object(
        self, key: str, response: JsonResponse
    ) -> Result[Versioned[Any], PlatformError]:
        """Decode one object."""

    def read_listing(
        self, prefix: str, response: JsonResponse
    ) -> Result[ListingPage, PlatformError]:
        """Decode one page of a listing."""

    def read_version(self, response: JsonResponse) -> Result[int, PlatformError]:
        """Decode the new version of a written object."""

    def read_batch(self, prefix: str, response: JsonResponse) -> Result[WatchBatch, PlatformError]:
        """Decode the changes returned by a watch."""


class DefaultCodec:
    """The protocol of the platform's stand-in in `hickoryloom.standins`."""

    def decode(self, body: bytes) -> Any:
        """Decode the body of a response."""
        return decode_json_parts(body, PARTS)

    def get(self, key: str) -> ObjectCall:
        """Read one object."""
        return ObjectCall("GET", f"/objects/{quote(key)}")

    def list(self, prefix: str, page_token: str) -> ObjectCall:
        """Read all objects in a single page."""
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

    def read_era(self, response: JsonResponse) -> int | None:
        """Return None, as this protocol has no eras."""
        return None

    def is_outage(self, response: JsonResponse) -> bool:
        """Return whether a response indicates that the store is unavailable."""
        return responses.is_outage(response)

    def check_status(self, response: JsonResponse) -> Result[JsonResponse, PlatformError]:
        """Turn an error status into an error."""
        return responses.check_status(response)

    def read_object(
        self, key: str, response: JsonResponse
    ) -> Result[Versioned[Any], PlatformError]:
        """Decode one object."""
        return responses.read_object(response)

    def read_listing(
        self, prefix: str, response: JsonResponse
    ) -> Result[ListingPage, PlatformError]:
        """Decode the listing, which always has a single page."""
        return responses.read_listing(response).map(ListingPage)

    def read_version(self, response: JsonResponse) -> Result[int, PlatformError]:
        """Decode the new version of a written object."""
        return responses.read_version(response)

    def read_batch(self, prefix: str, response: JsonResponse) -> Result[WatchBatch, PlatformError]:
        """Decode the changes returned by a watch."""
        return responses.read_batch(response)
