"""Final counts of ended processes, held in memory by other instances until the store takes them.

A process that ends while the store rejects its calls can't write its last counts. It would either
wait, which delays its successor, or lose them. Instead it hands them to other instances, which
write them once the store responds. The counts are cumulative and stored under the key of the ended
process, so that several holders can write them any number of times without counting twice.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random
from typing import Any, Protocol

import attrs
import cattrs
import logbook
from result import Err, Ok, Result

from hickoryloom.http import CallError, JsonClient, JsonResponse
from hickoryloom.logs import log_event
from hickoryloom.metering.messages import InstanceCounts
from hickoryloom.store import ErrorKind, PlatformError, Versioned

__all__ = ["COUNTS_PATH", "COUNTS_PREFIX", "CountsCustody"]

COUNTS_PATH = "/final-counts"
COUNTS_PREFIX = "counts/"

HOLDERS = 2
"""Instances that must hold the counts before their process may end, so that one of them can fail
before the store's return."""

MAX_TRIES = 6
"""Instances asked in one attempt: in a rolling restart, several of them are just being replaced."""

CALL_TIMEOUT_S = 0.4
"""Hundreds of round trips between failure domains."""

MAX_HELD = 256
"""Processes whose counts are held, at about 5 KB each. Each process that ends adds two copies to
those of the whole fleet, so that even the last instance of 89 to restart holds fewer."""

MAX_BODY_BYTES = 4 * 1024 * 1024

log = logbook.Logger("hickoryloom.metering")


class _CountsClient(Protocol):
    def get(self, key: str) -> Result[Versioned[Any], PlatformError]: ...

    def update(
        self, key: str, value: Any, if_version: int
    ) -> Result[Versioned[Any], PlatformError]: ...


class _PeerClient(Protocol):
    def call(
        self, method: str, path: str, body: Any = None, timeout_s: float | None = None
    ) -> Result[JsonResponse, CallError]: ...

    def close(self) -> None: ...


@attrs.frozen
class _HandedOver:
    """Final counts of processes by store key, as they are sent to a holder."""

    counts: dict[str, InstanceCounts]


class CountsCustody:
    """Holds final counts of other processes, and hands over those of this one at its end.

    Args:
        client: Client of the store.
        peers: Returns the addresses of the other instances.
        rng: Selects the instances that are asked.
        connect: Builds the client of an instance's address.
    """

    def __init__(
        self,
        client: _CountsClient,
        peers: Callable[[], Sequence[str]],
        rng: Random,
        connect: Callable[[str], _PeerClient] | None = None,
    ) -> None:
        self._client = client
        self._peers = peers
        self._rng = rng
        self._connect = connect or _connect
        self._held: dict[str, InstanceCounts] = {}
        self._accepts = True

    @property
    def held(self) -> int:
        """Number of processes whose final counts are held."""
        return len(self._held)

    def accept(self, counts: Mapping[str, InstanceCounts]) -> bool:
        """Hold the final counts of ended processes; return whether they are held."""
        if not self._accepts or not all(
            key.startswith(COUNTS_PREFIX) and value.final for key, value in counts.items()
        ):
            return False
        if len(self._held.keys() | counts.keys()) > MAX_HELD:
            log_event(log, "final-counts-refused", held=len(self._held))
            return False
        self._held.update(counts)
        log_event(log, "final-counts-held", keys=",".join(counts))
        return True

    def store(self) -> bool:
        """Write what is held; return whether nothing is left."""
        for key, counts in list(self._held.items()):
            error = self._store_one(key, counts)
            if error is None:
                self._held.pop(key, None)
            elif error.kind is not ErrorKind.CONFLICT:
                return False
        return not self._held

    def finish(self) -> bool:
        """Write what is held, and accept nothing more once nothing is left; return whether it is.

        Other instances ask further ones if this one refuses their counts.
        """
        if not self.store():
            return False
        self._accepts = False
        return True

    def _store_one(self, key: str, counts: InstanceCounts) -> PlatformError | None:
        """Write the counts of one process unless another holder did; return why it failed."""
        found = self._client.get(key)
        version = 0
        if isinstance(found, Ok):
            value = found.ok_value.value
            if isinstance(value, dict) and value.get("final"):
                return None
            version = found.ok_value.version
        elif found.err_value.kind is not ErrorKind.ABSENT:
            return found.err_value
        written = self._client.update(key, cattrs.unstructure(counts), version)
        if isinstance(written, Err):
            log_event(log, "final-counts-waiting", key=key, detail=written.err_value.detail)
            return written.err_value
        log_event(log, "final-counts-stored", key=key)
        return None

    def hand_over(self, own: Mapping[str, InstanceCounts]) -> bool:
        """Hand the counts of this process and those that it holds to other instances.

        Those that it holds are handed to one instance only, as another holder has them as well:
        the number of copies must not grow with each restart. This process accepts counts until it
        has found holders, since several processes that stop at the same time could otherwise wait
        for each other.

        Returns:
            Whether enough other instances hold them.
        """
        peers = list(self._peers())
        needed = min(HOLDERS, len(peers))
        holders: list[str] = []
        detail = "no other instance is known"
        for address in self._rng.sample(peers, min(MAX_TRIES, len(peers))):
            held = dict(self._held)
            refusal = self._offer(address, {**held, **own})
            if refusal:
                detail = f"{address}: {refusal}"
                continue
            holders.append(address)
            for key in held:
                self._held.pop(key, None)
            # Counts that were accepted during the call are left for the next holder.
            if len(holders) >= needed and not self._held:
                self._accepts = False
                log_event(log, "final-counts-handed-over", holders=",".join(holders))
                return True
        log_event(log, "final-counts-not-accepted", holders=",".join(holders), detail=detail)
        return False

    def _offer(self, address: str, counts: Mapping[str, InstanceCounts]) -> str:
        """Offer counts to one instance; return why it doesn't hold them, or an empty string."""
        message = cattrs.unstructure(_HandedOver(dict(counts)))
        client = self._connect(address)
        try:
            response = client.call("POST", COUNTS_PATH, message, timeout_s=CALL_TIMEOUT_S)
        finally:
            client.close()
        if isinstance(response, Err):
            return response.err_value.detail
        status = response.ok_value.status
        return "" if status == 200 else f"status {status}"

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve an offer of another instance as a WSGI application."""
        try:
            raw = environ["wsgi.input"].read(MAX_BODY_BYTES)
            offered = cattrs.structure(json.loads(raw), _HandedOver)
        except (cattrs.BaseValidationError, KeyError, TypeError, ValueError) as error:
            log_event(log, "final-counts-unreadable", error=type(error).__name__)
            return _respond(start_response, "400 Bad Request")
        accepted = self.accept(offered.counts)
        return _respond(start_response, "200 OK" if accepted else "503 Service Unavailable")


def _connect(address: str) -> JsonClient:
    return JsonClient(address, timeout_s=CALL_TIMEOUT_S, connections=1)


def _respond(start_response: Any, status: str) -> Iterable[bytes]:
    start_response(status, [("Content-Type", "application/json"), ("Content-Length", "0")])
    return [b""]
