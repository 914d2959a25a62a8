"""Encodes requests to backend servers and decodes the headers of their responses."""

from __future__ import annotations

import re

from hickoryloom.catalog import Customer
from hickoryloom.discovery import BackendServer
from hickoryloom.gateway.messages import CallerRequest, Headers, ResponseHead
from hickoryloom.placing import ReportedLoad

__all__ = ["PlatformBackends"]

MS_PER_S = 1000
MISDIRECTED = 421
TURNED_AWAY = 503
SIGNATURE_HEADER = "replica-signature"
LOAD_FIGURES = (3, 4)
COUNT = re.compile(r"[0-9]{1,15}")
MAX_REPORTED_COUNT = 1_000_000
"""A server that states more requests or slots is at fault, and would never be chosen again."""

INTERNAL_RESPONSE_HEADERS = frozenset(
    (
        "not-executed",
        "replica-load",
        "replica-id",
        "server-brittle",
        "server-leaving",
        "server-limit",
        "warmup-ms",
    )
)


class PlatformBackends:
    """Backend servers echo the id of a request and sign their responses."""

    @property
    def id_header(self) -> str:
        """Lower-case name of the header in which a backend server echoes the request id."""
        return "attempt-id"

    def request_headers(
        self,
        request: CallerRequest,
        server: BackendServer,
        customer: Customer | None,
        priority: int,
        remaining_s: float,
        resume_after: int | None,
    ) -> Headers:
        """Return all headers except `Host` and the length of the body."""
        headers = [
            *request.headers,
            ("deadline-ms", str(max(1, int(remaining_s * MS_PER_S)))),
            ("expect-replica", server.id),
        ]
        if request.prompt_tokens:
            headers.append(("request-priority", str(priority)))
        if customer is not None:
            headers.append(("tenant", customer.name))
        if resume_after is not None:
            headers.append(("last-event-id", str(resume_after)))
        return tuple(headers)

    def read_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode status and headers of a response."""
        values = dict(headers)
        load = _read_load(values.get("replica-load", ""))
        return ResponseHead(
            not_run="not-executed" in values,
            turned_away=status == TURNED_AWAY and "not-executed" in values,
            misdirected=status == MISDIRECTED,
            signed=bool(values.get(SIGNATURE_HEADER)),
            load=load,
            load_unreadable="" if load is not None else values.get("replica-load", ""),
            keep_alive_s=_read_keep_alive(values.get("keep-alive", "")),
            leaving=values.get("server-leaving", "").strip() == "1",
            brittle=values.get("server-brittle", "").strip(),
            limit=values.get("server-limit", "").strip(),
            warm_up_ms=values.get("warmup-ms", "").strip(),
            pause=values.get("retry-after", "") if status == TURNED_AWAY else "",
        )

    def response_headers(self, headers: Headers) -> Headers:
        """Return the response headers that are forwarded to the caller."""
        return tuple(pair for pair in headers if pair[0] not in INTERNAL_RESPONSE_HEADERS)


def _read_load(value: str) -> ReportedLoad | None:
    """Return the load: running, waiting and slots, at some services followed by a slow-down.

    None if one of the first three is no number or, in the form of four figures, beyond any server.
    """
    parts = [part.strip() for part in value.split(",")]
    if len(parts) not in LOAD_FIGURES or not all(COUNT.fullmatch(part) for part in parts[:3]):
        return None
    running, waiting, slots = (int(part) for part in parts[:3])
    if len(parts) == 3:
        return ReportedLoad(running, waiting, slots)
    if max(running, waiting, slots) > MAX_REPORTED_COUNT:
        return None
    return ReportedLoad(running, waiting, slots, parts[3])


def _read_keep_alive(value: str) -> float | None:
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdecimal():
            return float(seconds)
    return None
