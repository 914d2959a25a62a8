"""Spells the calls that one instance at a time may make."""

from __future__ import annotations

from hickoryloom.duties import DutyCall, DutyOutcome
from hickoryloom.http import JsonAnswer
from hickoryloom.scaling import Group

__all__ = ["PlatformScaling", "PlatformUsage"]

CONFLICT = 409


class PlatformUsage:
    """Usage reports."""

    def report(self, window: int, counts: dict[str, int], holder: str, term: int) -> DutyCall:
        """Return the call that reports one window."""
        body = {"window_id": window, "counts": counts}
        return DutyCall("/usage", body, _fence(holder, term))

    def read(self, answer: JsonAnswer) -> DutyOutcome:
        """Decode the answer; a conflict is always a higher token's."""
        return DutyOutcome.FENCED if answer.status == CONFLICT else _outcome(answer)


class PlatformScaling:
    """Orders of backend servers."""

    def order(self, group: Group, number: int, holder: str, term: int) -> DutyCall:
        """Return the call that sets the number of backend servers of a group."""
        body = {
            "service": group.service,
            "zone": group.failure_domain,
            "desired_count": number,
        }
        if group.reclaimable:
            body["spot_instances"] = True
        return DutyCall("/scale", body, _fence(holder, term))

    def read(self, answer: JsonAnswer) -> DutyOutcome:
        """Decode the answer; a conflict may also say that none can be had."""
        if answer.status != CONFLICT:
            return _outcome(answer)
        told = str(answer.body).lower()
        return DutyOutcome.FENCED if "fenc" in told else DutyOutcome.NONE_TO_BE_HAD


def _fence(holder: str, term: int) -> dict[str, str]:
    return {"Duty-Holder": holder, "Fencing-Token": str(term)}


def _outcome(answer: JsonAnswer) -> DutyOutcome:
    if answer.status < 300:
        return DutyOutcome.DONE
    return DutyOutcome.UNKNOWN if answer.status >= 500 else DutyOutcome.REJECTED
