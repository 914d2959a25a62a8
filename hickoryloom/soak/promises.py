"""The promises that a soak checks, from what callers and backend servers have seen; pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from hickoryloom.soak.messages import Answer, CallKind
from hickoryloom.soak.record import Record

__all__ = ["PROMISES", "check_promises"]

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses by which a caller is told that its request has not run and never will."""

SLACK_S = 0.3
"""Delays of the soak's own clock readings beside many greenlets and a busy machine."""

SERVED_AFTER_FAULTS = 0.9
"""Part of the proper requests that must be served once everything had time to recover."""

RECOVERY_S = 8.0
"""Time for that: a restart, a lapsed view and a full round of retries."""

HARMLESS_TO_CONNECTIONS = ("store", "history", "store-link", "duties-link", "reload")
"""Faults that are no reason to end a caller's connection without an answer."""

LATEST_AT_A_STOP_S = 3.0
"""Time after a request to stop in which callers may still come, as the balancer has not noticed."""

Check = Callable[[Record], Iterator[str]]
PROMISES: dict[str, Check] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Register the decorated check under the promise's name; it yields what breaks it."""

    def register(check: Check) -> Check:
        PROMISES[name] = check
        return check

    return register


def check_promises(record: Record) -> dict[str, list[str]]:
    """Return what breaks each promise, for all promises that are broken."""
    found = {name: list(check(record)) for name, check in PROMISES.items()}
    return {name: broken for name, broken in found.items() if broken}


@promise("a request that must run once runs at most once")
def _once(record: Record) -> Iterator[str]:
    for id, runs in record.runs_of().items():
        call = record.calls.get(id)
        if call is not None and call.kind is CallKind.ONCE and len(runs) > 1:
            yield f"{id} ran {len(runs)} times, at {[run.server for run in runs]}"


@promise("a refusal that says not run is true")
def _true_refusals(record: Record) -> Iterator[str]:
    ran = record.runs_of()
    for id, answer in record.answers.items():
        if answer.status in NOT_RUN_STATUSES and id in ran:
            yield f"{id} was answered {answer.status} by {answer.call.instance} and ran"


@promise("an answer is the backend server's own, and a cut one does not look whole")
def _right_answers(record: Record) -> Iterator[str]:
    for id, answer in record.answers.items():
        if not answer.right:
            yield f"{id} at {answer.call.instance}: status {answer.status}, whole {answer.whole}"


@promise("only what callers asked for runs, for its customer, at its service, without its key")
def _asked(record: Record) -> Iterator[str]:
    for run in record.runs:
        call = record.calls.get(run.call_id)
        if call is None:
            yield f"{run.call_id!r} at {run.server} was sent by nobody"
        elif run.customer != call.customer:
            yield f"{run.call_id} of {call.customer} ran for {run.customer!r}"
        elif run.service != run.wanted_service:
            yield f"{run.call_id} ran at service {run.service}, not {run.wanted_service}"
        elif run.key_seen:
            yield f"{run.call_id} came to {run.server} with its caller's key"


@promise("a withdrawn key stops within its bound, whatever happens")
def _withdrawn(record: Record) -> Iterator[str]:
    for run in record.runs:
        call = record.calls.get(run.call_id)
        gone = record.withdrawn.get(call.key) if call is not None else None
        if call is None or gone is None or run.rejected:
            continue
        if call.sent > gone + record.bounds.revoke_s + SLACK_S:
            yield f"{run.call_id} ran {call.sent - gone:.2f} s after its key was withdrawn"


@promise("a leaving backend server gets nothing new after its bound")
def _leaving(record: Record) -> Iterator[str]:
    bounds = record.bounds
    for run in record.runs:
        gone = record.leaving.get(run.server)
        call = record.calls.get(run.call_id)
        if gone is None or call is None or run.at <= gone + bounds.drain_s + SLACK_S:
            continue
        if record.calm(call.instance, gone - bounds.catch_up_s, run.at):
            yield f"{run.call_id} came to {run.server} {run.at - gone:.2f} s after it was leaving"


@promise("a removed route serves nothing after its bound")
def _removed_route(record: Record) -> Iterator[str]:
    bounds = record.bounds
    for run in record.runs:
        call = record.calls.get(run.call_id)
        if call is None or call.kind is not CallKind.ROUTE_COMES_AND_GOES:
            continue
        for gone, back in record.route_gone:
            if not gone + bounds.apply_s + SLACK_S < call.sent < run.at < back:
                continue
            if record.calm(call.instance, gone - bounds.catch_up_s, run.at):
                yield f"{run.call_id} ran {call.sent - gone:.2f} s after its route was removed"


@promise("a request that was read gets an answer, also when the store is away or settings change")
def _answered(record: Record) -> Iterator[str]:
    bounds = record.bounds
    for id, answer in record.answers.items():
        if answer.status or answer.whole:
            continue
        call = answer.call
        began = call.sent - bounds.catch_up_s
        if record.calm(call.instance, began, answer.ended, HARMLESS_TO_CONNECTIONS):
            yield f"{id} at {call.instance}: {answer.detail}"


@promise(
    "an answer is not cut while its instance and its backend servers are sound or stop by plan"
)
def _not_cut(record: Record) -> Iterator[str]:
    ran = record.runs_of()
    for id, answer in record.answers.items():
        call = answer.call
        if answer.whole or id not in ran or _stop_came_too_late(record, answer):
            continue
        since, harmless = call.sent - record.bounds.catch_up_s, HARMLESS_TO_CONNECTIONS
        subjects = [call.instance, *(run.server for run in ran[id])]
        if all(
            record.calm(subject, since, answer.ended, (*harmless, "planned-stop", "server-drain"))
            for subject in subjects
        ):
            yield f"{id} at {call.instance}, run by {subjects[1:]}: {answer.detail}"


def _stop_came_too_late(record: Record, answer: Answer) -> bool:
    """Return whether a request was sent when its instance had long been asked to stop."""
    return any(
        one.what == "planned-stop"
        and one.subject == answer.call.instance
        and one.began + LATEST_AT_A_STOP_S < answer.call.sent < one.ended
        for one in record.disturbances
    )


@promise("every request gets its final answer in its route's time")
def _in_time(record: Record) -> Iterator[str]:
    bounds = record.bounds
    for id, answer in record.answers.items():
        took_s = answer.ended - answer.call.sent
        if took_s <= bounds.timeout_s + 1.0 or not answer.status:
            continue
        if record.calm(answer.call.instance, answer.call.sent - bounds.catch_up_s, answer.ended):
            yield f"{id} at {answer.call.instance} took {took_s:.2f} s"


@promise("usage of a window is reported with one set of figures")
def _usage(record: Record) -> Iterator[str]:
    taken: dict[int, dict[str, int]] = {}
    for report in record.reports:
        first = taken.setdefault(report.window, report.counts)
        if first != report.counts:
            yield f"window {report.window}: {first}, then {report.counts} by {report.holder}"


@promise("no two holders use one fencing number")
def _terms(record: Record) -> Iterator[str]:
    holders: dict[int, str] = {}
    for holder, term in record.terms:
        if holders.setdefault(term, holder) != holder:
            yield f"term {term}: {holders[term]} and {holder}"


@promise("retries stay within the budget over all instances")
def _retries(record: Record) -> Iterator[str]:
    bounds = record.bounds
    seen: set[str] = set()
    first: dict[str, list[float]] = {}
    again: dict[str, list[float]] = {}
    for run in sorted(record.runs, key=lambda run: run.at):
        (again if run.call_id in seen else first).setdefault(run.service, []).append(run.at)
        seen.add(run.call_id)
    for service, times in again.items():
        for at in times:
            window = (at - bounds.retry_window_s, at)
            retries = sum(1 for one in times if window[0] < one <= window[1])
            sent = sum(1 for one in first.get(service, ()) if window[0] < one <= window[1])
            if retries > bounds.retry_ratio * sent + bounds.retry_slack:
                yield f"{service}: {retries} retries beside {sent} first sends in a window"
                break


@promise("no process ends by itself, and each ends in time when it is asked to")
def _exits(record: Record) -> Iterator[str]:
    for name, code in record.exits:
        yield f"{name} ended with code {code}"
    for name in record.late_stops:
        yield f"{name} was still there after the time for a stop"


@promise("everything is served again after the last fault")
def _recovered(record: Record) -> Iterator[str]:
    since = record.last_fault_ended + RECOVERY_S
    statuses: Counter[bool] = Counter()
    for answer in record.answers.values():
        call = answer.call
        if call.sent < since or call.key in record.withdrawn:
            continue
        statuses[answer.status == 200 and answer.whole] += 1
    total = sum(statuses.values())
    if total and statuses[True] < SERVED_AFTER_FAULTS * total:
        yield f"{statuses[True]} of {total} requests were served"
