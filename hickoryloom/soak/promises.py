"""Checks the promises against the observations of callers and backend servers.

The checks have no side effects.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from hickoryloom.soak.messages import Answer, CallKind
from hickoryloom.soak.record import Record

__all__ = ["PROMISES", "check_promises"]

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that tell the caller that its request has not run and will not run."""

CLOCK_TOLERANCE_S = 0.3
"""Tolerance for delayed clock readings of the soak test, with many greenlets on a busy machine."""

MIN_SUCCESS_FRACTION = 0.9
"""Fraction of the valid requests that must succeed after the recovery time."""

RECOVERY_S = 8.0
"""Recovery time: covers a restart, the expiry of a stale view and a full round of retries."""

HARMLESS_TO_CONNECTIONS = ("store", "history", "store-link", "duties-link", "reload")
"""Faults that do not excuse closing a caller's connection without a response."""

SHORTEST_TIMEOUT_S = 3.6
"""Time after which a request may have timed out; the shortest timeout that is configured is 3.8 s.
"""

STOP_DETECTION_S = 3.0
"""Time after a request to stop in which the load balancer may still send callers there."""

Check = Callable[[Record], Iterator[str]]
PROMISES: dict[str, Check] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Register the decorated check under the promise's name; it yields the violations."""

    def register(check: Check) -> Check:
        PROMISES[name] = check
        return check

    return register


def check_promises(record: Record) -> dict[str, list[str]]:
    """Return the violations of each broken promise, by its name."""
    violations = {name: list(check(record)) for name, check in PROMISES.items()}
    return {name: broken for name, broken in violations.items() if broken}


@promise("a request that must run once runs at most once")
def _runs_at_most_once(record: Record) -> Iterator[str]:
    for id, runs in record.accepted_runs().items():
        call = record.calls.get(id)
        if call is not None and call.kind.runs_once and len(runs) > 1:
            yield f"{id} ran {len(runs)} times, at {[run.server for run in runs]}"


@promise("a refusal that says not run is true")
def _refused_did_not_run(record: Record) -> Iterator[str]:
    runs = record.accepted_runs()
    for id, answer in record.answers.items():
        if answer.status in NOT_RUN_STATUSES and id in runs:
            yield f"{id} was answered {answer.status} by {answer.call.instance} and ran"


@promise("an answer is the backend server's own, and a cut one does not look whole")
def _correct_answers(record: Record) -> Iterator[str]:
    for id, answer in record.answers.items():
        if not answer.correct:
            yield f"{id} at {answer.call.instance}: status {answer.status}, whole {answer.whole}"


@promise("only what callers asked for runs, for its customer, at its service, without its key")
def _runs_as_requested(record: Record) -> Iterator[str]:
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
def _withdrawn_keys(record: Record) -> Iterator[str]:
    for run in record.runs:
        call = record.calls.get(run.call_id)
        withdrawn_at = record.withdrawn.get(call.key) if call is not None else None
        if call is None or withdrawn_at is None or run.rejected:
            continue
        if call.sent > withdrawn_at + record.bounds.revoke_s + CLOCK_TOLERANCE_S:
            yield f"{run.call_id} ran {call.sent - withdrawn_at:.2f} s after its key was withdrawn"


@promise("a leaving backend server gets nothing new after its bound")
def _draining_servers(record: Record) -> Iterator[str]:
    bounds = record.bounds
    for run in record.runs:
        draining_at = record.leaving.get(run.server)
        call = record.calls.get(run.call_id)
        if (
            draining_at is None
            or call is None
            or run.received_at <= draining_at + bounds.drain_s + CLOCK_TOLERANCE_S
        ):
            continue
        if record.is_undisturbed(call.instance, draining_at - bounds.catch_up_s, run.received_at):
            yield (
                f"{run.call_id} came to {run.server} "
                f"{run.received_at - draining_at:.2f} s after it was leaving"
            )


@promise("a removed route serves nothing after its bound")
def _removed_route(record: Record) -> Iterator[str]:
    bounds = record.bounds
    for run in record.runs:
        call = record.calls.get(run.call_id)
        if call is None or call.kind is not CallKind.EXTRA_ROUTE:
            continue
        for removed_at, restored_at in record.route_removals:
            if (
                not removed_at + bounds.apply_s + CLOCK_TOLERANCE_S
                < call.sent
                < run.received_at
                < restored_at
            ):
                continue
            if record.is_undisturbed(
                call.instance, removed_at - bounds.catch_up_s, run.received_at
            ):
                yield (
                    f"{run.call_id} ran {call.sent - removed_at:.2f} s after its route was removed"
                )


@promise("a request that was read gets an answer, also when the store is away or settings change")
def _connections_get_answers(record: Record) -> Iterator[str]:
    bounds = record.bounds
    for id, answer in record.answers.items():
        if answer.status or answer.whole:
            continue
        call = answer.call
        since = call.sent - bounds.catch_up_s
        if record.is_undisturbed(call.instance, since, answer.ended, HARMLESS_TO_CONNECTIONS):
            yield f"{id} at {call.instance}: {answer.detail}"


@promise(
    "an answer is not cut while its instance and its backend servers are sound or stop by plan"
)
def _answers_not_cut(record: Record) -> Iterator[str]:
    runs = record.accepted_runs()
    for id, answer in record.answers.items():
        call = answer.call
        if answer.whole or id not in runs or _sent_after_stop_detection(record, answer):
            continue
        if answer.ended - call.sent >= SHORTEST_TIMEOUT_S:
            continue
        since, harmless = call.sent - record.bounds.catch_up_s, HARMLESS_TO_CONNECTIONS
        subjects = [call.instance, *(run.server for run in runs[id])]
        if all(
            record.is_undisturbed(
                subject, since, answer.ended, (*harmless, "planned-stop", "server-drain")
            )
            for subject in subjects
        ):
            yield f"{id} at {call.instance}, run by {subjects[1:]}: {answer.detail}"


@promise("around planned work, a request that an instance has read gets a complete answer")
def _planned_work_ends_nothing(record: Record) -> Iterator[str]:
    runs = record.accepted_runs()
    for answer in record.unanswered() if record.only_planned_work else ():
        call = answer.call
        lines = record.log_lines.get(call.id, [])
        was_read = bool(lines) or call.id in runs
        if not was_read or answer.ended - call.sent >= SHORTEST_TIMEOUT_S:
            continue
        ran_at = [run.server for run in runs.get(call.id, ())]
        yield "\n    ".join(
            (
                f"{call.id} ({call.kind.value}) at {call.instance}, run by {ran_at}: "
                f"{answer.detail or 'cut short'} after {answer.ended - call.sent:.2f} s, "
                f"fresh connection {call.fresh}, sent {_since_stop(record, answer)}",
                *lines,
            )
        )


def _since_stop(record: Record, answer: Answer) -> str:
    """Return how long after the request to stop its instance a request was sent."""
    times = [
        answer.call.sent - disturbance.began
        for disturbance in record.disturbances
        if disturbance.fault == "planned-stop"
        and disturbance.subject == answer.call.instance
        and disturbance.began <= answer.ended
        and disturbance.ended >= answer.call.sent
    ]
    return ", ".join(f"{time:+.2f} s after SIGTERM" for time in times) or "outside of a stop"


def _sent_after_stop_detection(record: Record, answer: Answer) -> bool:
    """Return whether a request was sent when the load balancer should have detected the stop."""
    return any(
        disturbance.fault == "planned-stop"
        and disturbance.subject == answer.call.instance
        and disturbance.began + STOP_DETECTION_S < answer.call.sent < disturbance.ended
        for disturbance in record.disturbances
    )


@promise("every request gets its final answer in its route's time")
def _answered_in_time(record: Record) -> Iterator[str]:
    bounds = record.bounds
    for id, answer in record.answers.items():
        took_s = answer.ended - answer.call.sent
        if took_s <= bounds.timeout_s + 1.0 or not answer.status:
            continue
        if record.is_undisturbed(
            answer.call.instance, answer.call.sent - bounds.catch_up_s, answer.ended
        ):
            yield f"{id} at {answer.call.instance} took {took_s:.2f} s"


@promise("usage of a window is reported with one set of figures")
def _consistent_usage(record: Record) -> Iterator[str]:
    counts_by_window: dict[int, dict[str, int]] = {}
    for report in record.reports:
        first_counts = counts_by_window.setdefault(report.window, report.counts)
        if first_counts != report.counts:
            yield f"window {report.window}: {first_counts}, then {report.counts} by {report.holder}"


@promise("no two holders use one fencing number")
def _unique_terms(record: Record) -> Iterator[str]:
    holders: dict[int, str] = {}
    for holder, term in record.terms:
        if holders.setdefault(term, holder) != holder:
            yield f"term {term}: {holders[term]} and {holder}"


@promise("retries stay within the budget over all instances")
def _retry_budget(record: Record) -> Iterator[str]:
    bounds = record.bounds
    seen: set[str] = set()
    first_attempts: dict[str, list[float]] = {}
    retries_by_service: dict[str, list[float]] = {}
    for run in sorted(record.runs, key=lambda run: run.received_at):
        (retries_by_service if run.call_id in seen else first_attempts).setdefault(
            run.service, []
        ).append(run.received_at)
        seen.add(run.call_id)
    for service, retry_times in retries_by_service.items():
        for at in retry_times:
            window = (at - bounds.retry_window_s, at)
            retries = sum(1 for time in retry_times if window[0] < time <= window[1])
            sent = sum(
                1 for time in first_attempts.get(service, ()) if window[0] < time <= window[1]
            )
            if retries > bounds.retry_ratio * sent + bounds.retry_slack:
                yield f"{service}: {retries} retries beside {sent} first sends in a window"
                break


@promise("no process ends by itself, and each ends in time when it is asked to")
def _process_exits(record: Record) -> Iterator[str]:
    for name, code in record.unexpected_exits:
        yield f"{name} ended with code {code}"
    for name in record.late_stops:
        yield f"{name} was still there after the time for a stop"


@promise("everything is served again after the last fault")
def _recovery(record: Record) -> Iterator[str]:
    since = record.last_fault_ended + RECOVERY_S
    successes: Counter[bool] = Counter()
    for answer in record.answers.values():
        call = answer.call
        if call.sent < since or call.key in record.withdrawn:
            continue
        successes[answer.status == 200 and answer.whole] += 1
    total = sum(successes.values())
    if total and successes[True] < MIN_SUCCESS_FRACTION * total:
        yield f"{successes[True]} of {total} requests were served"
