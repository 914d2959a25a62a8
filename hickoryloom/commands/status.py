"""The `hickoryloom status` subcommand."""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterable
from typing import Any

import gevent
from result import Err, Ok

from hickoryloom.commands.platform_option import add_platform_option, connect_platform
from hickoryloom.commands.registry import command
from hickoryloom.exceptions import UnavailableError, UsageError
from hickoryloom.http import JsonClient
from hickoryloom.store import PlatformClient
from hickoryloom.tables import render_table

CALL_TIMEOUT_S = 2.0
LEASES_PREFIX = "leases/"
PRESENCE_PREFIX = "presence/"
ROOT_KEY = "config/root"

JsonObject = dict[str, Any]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    add_platform_option(parser)
    parser.add_argument(
        "--admin",
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="further admin port to query, for when the platform is down; may be repeated",
    )
    parser.add_argument("--json", action="store_true", help="print JSON instead of tables")


@command(
    "status",
    "Show processes, the published configuration, leases, pools and attainment.",
    "hickoryloom status --platform 127.0.0.1:7400",
    _add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Print the status of all processes; return 1 if one of them does not respond."""
    if not options.platform and not options.admin:
        raise UsageError("specify the platform with --platform, or a process with --admin")
    report = _collect_report(options)
    if options.json:
        print(json.dumps(report, indent=2, sort_keys=True))
    else:
        print("\n\n".join(_render_tables(report)))
    return 1 if report["silent"] else 0


def _collect_report(options: argparse.Namespace) -> JsonObject:
    report: JsonObject = {"published": None, "leases": {}, "instances": [], "silent": []}
    addresses = set(options.admin)
    if options.platform:
        client = connect_platform(options)
        addresses.update(_read_platform(client, report))
    tasks = {address: gevent.spawn(_fetch_status, address) for address in sorted(addresses)}
    gevent.joinall(list(tasks.values()))
    report["instances"] = [task.value for task in tasks.values() if task.value is not None]
    report["silent"] = [address for address, task in tasks.items() if task.value is None]
    return report


def _read_platform(client: PlatformClient, report: JsonObject) -> set[str]:
    """Add the data of the platform to the report; return the admin addresses of the processes."""
    presence = client.list(PRESENCE_PREFIX)
    if isinstance(presence, Err):
        raise UnavailableError(f"no response from the platform: {presence.err_value.detail}")
    leases = client.list(LEASES_PREFIX)
    if isinstance(leases, Ok):
        report["leases"] = {
            item.key.removeprefix(LEASES_PREFIX): item.value for item in leases.ok_value.items
        }
    root = client.get(ROOT_KEY)
    if isinstance(root, Ok):
        report["published"] = root.ok_value.value.get("generation")
    return {item.value["admin"] for item in presence.ok_value.items if item.value.get("admin")}


def _fetch_status(address: str) -> JsonObject | None:
    client = JsonClient(address, timeout_s=CALL_TIMEOUT_S)
    response = client.call("GET", "/status")
    client.close()
    if isinstance(response, Ok) and response.ok_value.status == 200:
        return dict(response.ok_value.body)
    return None


def _render_tables(report: JsonObject) -> Iterable[str]:
    published = report["published"]
    yield f"configuration published: {'-' if published is None else published}"
    yield _render_processes(report["instances"])
    yield from _render_evacuations(report["instances"])
    if report["silent"]:
        yield "no answer from: " + ", ".join(report["silent"])
    yield _render_leases(report["leases"])
    yield _render_pools(report["instances"])
    yield _render_attainment(report["instances"])


def _render_processes(processes: list[JsonObject]) -> str:
    rows = [
        (
            process["incarnation"],
            process["role"],
            process["failure_domain"],
            process.get("generation", "-"),
            "ready" if process.get("ready", True) else "; ".join(process["reasons"]),
        )
        for process in sorted(
            processes, key=lambda process: (process["role"], process["incarnation"])
        )
    ]
    return render_table(("INSTANCE", "ROLE", "FAILURE DOMAIN", "GENERATION", "STATE"), rows)


def _render_evacuations(processes: list[JsonObject]) -> Iterable[str]:
    """Return a line for each failure domain that is evacuated at any of the processes."""
    reporting = [process["evacuations"] for process in processes if "evacuations" in process]
    for domain in sorted({domain for known in reporting for domain in known}):
        known = [evacuations[domain] for evacuations in reporting if domain in evacuations]
        yield (
            f"failure domain {domain} is evacuated at {len(known)} of {len(reporting)} instances, "
            f"for {max(entry['for_s'] for entry in known):.0f} s; "
            f"{sum(entry['requests_running'] for entry in known)} requests still run there"
        )


def _render_leases(leases: JsonObject) -> str:
    rows = [(duty, lease["term"], lease["holder"] or "-") for duty, lease in sorted(leases.items())]
    return render_table(("LEASE", "TERM", "HOLDER"), rows)


def _render_pools(processes: list[JsonObject]) -> str:
    totals: dict[str, JsonObject] = {}
    for process in processes:
        for name, pool in process.get("pools", {}).items():
            total = totals.setdefault(name, {**pool, "in_flight": 0, "waiting": 0})
            total["in_flight"] += pool["in_flight"]
            total["waiting"] += pool["waiting"]
    headings = ("POOL", "BACKEND SERVERS", "LEAVING", "SLOTS", "IN FLIGHT", "WAITING")
    columns = ("backend_servers", "leaving", "slots", "in_flight", "waiting")
    rows = [(name, *(pool[column] for column in columns)) for name, pool in sorted(totals.items())]
    return render_table(headings, rows)


def _render_attainment(processes: list[JsonObject]) -> str:
    totals: dict[str, dict[str, int]] = {}
    for process in processes:
        for name, counts in process.get("attainment", {}).items():
            total = totals.setdefault(name, {"met": 0, "missed": 0, "refused": 0})
            for result in total:
                total[result] += counts[result]
    rows = [
        (name, counts["met"], counts["missed"], counts["refused"], _attainment_rate(counts))
        for name, counts in sorted(totals.items())
    ]
    return render_table(("CLASS", "MET", "MISSED", "REFUSED", "ATTAINMENT"), rows)


def _attainment_rate(counts: dict[str, int]) -> str:
    total = sum(counts.values())
    return f"{counts['met'] / total:.1%}" if total else "-"
