"""`hickoryloom keys`."""

from __future__ import annotations

import argparse
import sys

from hickoryloom.commands.change_result import unwrap_change
from hickoryloom.commands.platform_option import add_platform_option, connect_platform
from hickoryloom.commands.registry import command
from hickoryloom.config import InvalidValueError, Name
from hickoryloom.configuration import (
    ChangeErrorKind,
    KeyRecord,
    issue_key,
    list_keys,
    withdraw_key,
)
from hickoryloom.exceptions import UnavailableError, UsageError
from hickoryloom.keys import hash_key, is_key, new_key
from hickoryloom.tables import render_table

__all__: list[str] = []

KEY_ID_CHARS = 12


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    verbs = parser.add_subparsers(dest="keys_verb", required=True, metavar="VERB")
    issue = verbs.add_parser(
        "issue",
        help="put a new key in force and print it once",
        epilog="Example: hickoryloom keys issue --customer museum-shop --label till-2",
    )
    issue.add_argument("--customer", required=True, help="the customer that it stands for")
    issue.add_argument("--label", default="", help="a name to know it by (default: its id)")
    issue.add_argument("--class", dest="request_class", default="", help="its default class")
    withdraw = verbs.add_parser(
        "withdraw",
        help="withdraw a key, for new and for running calls",
        epilog="Example: hickoryloom keys withdraw till-2",
    )
    withdraw.add_argument(
        "key", help="its label, its id, its hash, or - to read the key itself from standard input"
    )
    listing = verbs.add_parser(
        "list", help="list the keys in force", epilog="Example: hickoryloom keys list"
    )
    listing.add_argument("--customer", default="", help="only this customer's")
    for verb in (issue, withdraw, listing):
        add_platform_option(verb)


@command(
    "keys",
    "Issue, withdraw and list callers' keys.",
    "hickoryloom keys issue --customer museum-shop --platform 10.20.0.10:9000",
    _add_arguments,
)
def run(options: argparse.Namespace) -> None:
    """Run one of the verbs on keys."""
    VERBS[options.keys_verb](options)


def _issue(options: argparse.Namespace) -> None:
    key = new_key()
    key_hash = hash_key(key)
    label = options.label or f"key-{key_hash[:KEY_ID_CHARS]}"
    _check_name("--label", label)
    _check_name("--customer", options.customer)
    record = KeyRecord(key_hash, options.customer, label, options.request_class, issued=True)
    outcome = issue_key(connect_platform(options), record)
    if outcome.is_err() and outcome.unwrap_err().kind is ChangeErrorKind.UNKNOWN:
        detail = f"{outcome.unwrap_err().detail}; withdraw {label} once the platform answers"
        raise UnavailableError(detail)
    generation = unwrap_change(outcome)
    print(key)
    print(
        f"{label}: id {key_hash[:KEY_ID_CHARS]}, in force as of generation {generation}; "
        "the key is not shown again",
        file=sys.stderr,
    )


def _withdraw(options: argparse.Namespace) -> None:
    name = options.key
    if is_key(name):
        raise UsageError("don't write a key on the command line; pass - and write it to input")
    if name == "-":
        name = _hash_from_input()
    generation = unwrap_change(withdraw_key(connect_platform(options), name))
    print(f"withdrawn as of generation {generation}")


def _hash_from_input() -> str:
    key = sys.stdin.readline().strip()
    if not is_key(key):
        raise UsageError("what stands on standard input is no key")
    return hash_key(key)


def _list(options: argparse.Namespace) -> None:
    keys = unwrap_change(list_keys(connect_platform(options)))
    shown = [key for key in keys if options.customer in ("", key.customer)]
    rows = [
        (
            key.customer,
            key.label,
            key.hash[:KEY_ID_CHARS],
            key.request_class or "-",
            "keys issue" if key.issued else "documents",
        )
        for key in shown
    ]
    print(render_table(("CUSTOMER", "LABEL", "ID", "CLASS", "FROM"), rows))


def _check_name(option: str, value: str) -> None:
    try:
        Name().read(value)
    except InvalidValueError as error:
        [reason] = error.reasons
        raise UsageError(f"{option}: found {reason.found}; allowed: {reason.allowed}")


VERBS = {"issue": _issue, "withdraw": _withdraw, "list": _list}
