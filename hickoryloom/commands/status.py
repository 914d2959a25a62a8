"""`hickoryloom status`."""

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

Document = dict[str, Any]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    add_platform_option(parser)
    parser.add_argument(
        "--admin",
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="ask this operators' port too, for when the platform is down; may be repeated",
    )
    parser.add_argument("--json", action="store_true", help="print JSON instead of tables")


@command(
    "status",
    "Show instances, configuration in force, leases, pools and attainment.",
    "hickoryloom status --platform 127.0.0.1:7400",
    _add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Print what is in force where; return 1 when an instance does not answer."""
    if not options.platform and not options.admin:
        raise UsageError("name the platform by --platform, or an instance by --admin")
    found = _collect(options)
    if options.json:
        print(json.dumps(found, indent=2, sort_keys=True))
    else:
        print("\n\n".join(_tables(found)))
    return 1 if found["silent"] else 0


def _collect(options: argparse.Namespace) -> Document:
    found: Document = {"published": None, "leases": {}, "instances": [], "silent": []}
    addresses = set(options.admin)
    if options.platform:
        client = connect_platform(options)
        addresses.update(_read_platform(client, found))
    answers = {address: gevent.spawn(_ask, address) for address in sorted(addresses)}
    gevent.joinall(list(answers.values()))
    found["instances"] = [task.value for task in answers.values() if task.value is not None]
    found["silent"] = [address for address, task in answers.items() if task.value is None]
    return found


def _read_platform(client: PlatformClient, found: Document) -> set[str]:
    """Fill in what the platform knows; return the operators' ports of the instances."""
    presence = client.list(PRESENCE_PREFIX)
    if isinstance(presence, Err):
        raise UnavailableError(f"the platform does not answer: {presence.err_value.detail}")
    leases = client.list(LEASES_PREFIX)
    if isinstance(leases, Ok):
        found["leases"] = {
            item.key.removeprefix(LEASES_PREFIX): item.value for item in leases.ok_value.items
        }
    root = client.get(ROOT_KEY)
    if isinstance(root, Ok):
        found["published"] = root.ok_value.value.get("generation")
    return {item.value["admin"] for item in presence.ok_value.items if item.value.get("admin")}


def _ask(address: str) -> Document | None:
    client = JsonClient(address, timeout_s=CALL_TIMEOUT_S)
    answer = client.call("GET", "/status")
    client.close()
    if isinstance(answer, Ok) and answer.ok_value.status == 200:
        return dict(answer.ok_value.body)
    return None


def _tables(found: Document) -> Iterable[str]:
    published = found["published"]
    yield f"configuration published: {'-' if published is None else published}"
    yield _instances_table(found["instances"])
    if found["silent"]:
        yield "no answer from: " + ", ".join(found["silent"])
    yield _leases_table(found["leases"])
    yield _pools_table(found["instances"])
    yield _attainment_table(found["instances"])


def _instances_table(instances: list[Document]) -> str:
    rows = [
        (
            one["incarnation"],
            one["role"],
            one["failure_domain"],
            one.get("generation", "-"),
            "ready" if one.get("ready", True) else "; ".join(one["reasons"]),
        )
        for one in sorted(instances, key=lambda one: (one["role"], one["incarnation"]))
    ]
    return render_table(("INSTANCE", "ROLE", "FAILURE DOMAIN", "GENERATION", "STATE"), rows)


def _leases_table(leases: Document) -> str:
    rows = [(duty, lease["term"], lease["holder"] or "-") for duty, lease in sorted(leases.items())]
    return render_table(("LEASE", "TERM", "HOLDER"), rows)


def _pools_table(instances: list[Document]) -> str:
    totals: dict[str, Document] = {}
    for one in instances:
        for name, pool in one.get("pools", {}).items():
            total = totals.setdefault(name, {**pool, "in_flight": 0, "waiting": 0})
            total["in_flight"] += pool["in_flight"]
            total["waiting"] += pool["waiting"]
    headings = ("POOL", "BACKEND SERVERS", "LEAVING", "SLOTS", "IN FLIGHT", "WAITING")
    columns = ("backend_servers", "leaving", "slots", "in_flight", "waiting")
    rows = [(name, *(pool[column] for column in columns)) for name, pool in sorted(totals.items())]
    return render_table(headings, rows)


def _attainment_table(instances: list[Document]) -> str:
    totals: dict[str, dict[str, int]] = {}
    for one in instances:
        for name, counts in one.get("attainment", {}).items():
            total = totals.setdefault(name, {"met": 0, "missed": 0, "refused": 0})
            for result in total:
                total[result] += counts[result]
    rows = [
        (name, counts["met"], counts["missed"], counts["refused"], _rate(counts))
        for name, counts in sorted(totals.items())
    ]
    return render_table(("CLASS", "MET", "MISSED", "REFUSED", "ATTAINMENT"), rows)


def _rate(counts: dict[str, int]) -> str:
    total = sum(counts.values())
    return f"{counts['met'] / total:.1%}" if total else "-"
