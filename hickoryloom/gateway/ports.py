"""Interfaces between the gateway and external wire formats, and the registry of dialects.

A dialect only translates formats. It makes no decisions, performs no retries and holds no state.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import attrs
from result import Result

from hickoryloom.catalog import Catalog, Customer
from hickoryloom.discovery import BackendServer
from hickoryloom.exceptions import UsageError
from hickoryloom.gateway.messages import CallerRequest, Headers, ResponseHead
from hickoryloom.gateway.settings import GatewaySettings
from hickoryloom.metering import UsageCodec
from hickoryloom.scaling import ScalingCodec
from hickoryloom.store import ObjectCodec

__all__ = [
    "BackendCodec",
    "CallerCodec",
    "CatalogCodec",
    "Dialect",
    "EvacuationCodec",
    "RegistrationCodec",
    "dialect",
    "load_dialect",
]

ADAPTERS = ("hickoryloom.platform",)
"""Modules that register dialects when they are imported."""


class CallerCodec(Protocol):
    """Decodes callers' requests."""

    def read_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Result[CallerRequest, str]:
        """Decode a request; return an error message if it is invalid."""


class BackendCodec(Protocol):
    """Encodes requests to backend servers and decodes their responses."""

    @property
    def id_header(self) -> str:
        """Response header, in lower case, that carries the id of the request."""

    def request_headers(
        self,
        request: CallerRequest,
        server: BackendServer,
        customer: Customer | None,
        priority: int,
        remaining_s: float,
        resume_after: int | None,
    ) -> Headers:
        """Return all request headers except `Host` and `Content-Length`."""

    def read_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode a response head."""

    def response_headers(self, headers: Headers) -> Headers:
        """Return the response headers to forward to the caller, except `Content-Length`."""


class CatalogCodec(Protocol):
    """Locates and decodes the stored catalog."""

    @property
    def key(self) -> str:
        """Key of the catalog object in the store."""

    def read(self, value: Any) -> Result[Catalog, str]:
        """Decode the stored value; return an error message if it is invalid."""


class RegistrationCodec(Protocol):
    """Locates and decodes the registrations of backend servers."""

    @property
    def prefix(self) -> str:
        """Key prefix of registrations in the store."""

    def read(self, id: str, value: Any) -> BackendServer | None:
        """Decode a registration; return None if it describes no usable backend server."""


class EvacuationCodec(Protocol):
    """Locates and decodes the requested evacuations of failure domains."""

    @property
    def prefix(self) -> str:
        """Key prefix of evacuations in the store."""

    def read(self, name: str, value: Any) -> str | None:
        """Return the failure domain of an evacuation; None if the object is not one."""


@attrs.frozen
class Dialect:
    """An implementation of every interface for one environment.

    Attributes:
        settings: Reads the settings of a process, given its environment variables.
        settings_file: Returns the path of the settings file, given the environment variables.
    """

    settings: Callable[[Mapping[str, str]], GatewaySettings]
    settings_file: Callable[[Mapping[str, str]], str]
    objects: ObjectCodec
    callers: CallerCodec
    backends: BackendCodec
    catalog: CatalogCodec
    registrations: RegistrationCodec
    usage: UsageCodec
    scaling: ScalingCodec
    evacuations: EvacuationCodec


_DIALECTS: dict[str, Callable[[], Dialect]] = {}


def dialect(name: str) -> Callable[[Callable[[], Dialect]], Callable[[], Dialect]]:
    """Register the decorated factory under the dialect name `name`."""

    def register(build: Callable[[], Dialect]) -> Callable[[], Dialect]:
        _DIALECTS[name] = build
        return build

    return register


def load_dialect(name: str) -> Dialect:
    """Build the dialect `name`.

    Raises:
        UsageError: No dialect has that name.
    """
    for module in ADAPTERS:
        importlib.import_module(module)
    if name not in _DIALECTS:
        known = ", ".join(sorted(_DIALECTS))
        raise UsageError(f"unknown dialect {name!r}; known dialects: {known}")
    return _DIALECTS[name]()
