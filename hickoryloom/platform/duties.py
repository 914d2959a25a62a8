"""Encodes the calls that only one instance at a time may make."""

from __future__ import annotations

from hickoryloom.duties import DutyCall, DutyOutcome
from hickoryloom.http import JsonResponse
from hickoryloom.scaling import Group

__all__ = ["PlatformScaling", "PlatformUsage"]

CONFLICT = 409


class PlatformUsage:
    """Codec of usage reports."""

    def report(self, window: int, counts: dict[str, int], holder: str, term: int) -> DutyCall:
        """Return the call that reports the usage of one window."""
        body = {"window_id": window, "counts": counts}
        return DutyCall("/usage", body, _fencing_headers(holder, term))

    def read(self, response: JsonResponse) -> DutyOutcome:
        """Decode the response; a conflict always means that a higher fencing token was seen."""
        return DutyOutcome.FENCED if response.status == CONFLICT else _outcome(response)


class PlatformScaling:
    """Codec of backend server orders."""

    def order(self, group: Group, number: int, holder: str, term: int) -> DutyCall:
        """Return the call that sets the number of backend servers of a group."""
        body = {
            "service": group.service,
            "zone": group.failure_domain,
            "desired_count": number,
        }
        if group.reclaimable:
            body["spot_instances"] = True
        return DutyCall("/scale", body, _fencing_headers(holder, term))

    def read(self, response: JsonResponse) -> DutyOutcome:
        """Decode the response; a conflict means either a higher fencing token or no capacity."""
        if response.status != CONFLICT:
            return _outcome(response)
        message = str(response.body).lower()
        return DutyOutcome.FENCED if "fenc" in message else DutyOutcome.NO_CAPACITY


def _fencing_headers(holder: str, term: int) -> dict[str, str]:
    return {"Duty-Holder": holder, "Fencing-Token": str(term)}


def _outcome(response: JsonResponse) -> DutyOutcome:
    if response.status < 300:
        return DutyOutcome.DONE
    return DutyOutcome.UNKNOWN if response.status >= 500 else DutyOutcome.REJECTED
