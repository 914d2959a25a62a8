"""The `hickoryloom keys` subcommand."""

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
    subparsers = parser.add_subparsers(dest="keys_verb", required=True, metavar="VERB")
    issue_parser = subparsers.add_parser(
        "issue",
        help="create and publish a new key, and print it once",
        epilog="Example: hickoryloom keys issue --customer museum-shop --label till-2",
    )
    issue_parser.add_argument("--customer", required=True, help="customer that the key belongs to")
    issue_parser.add_argument(
        "--label", default="", help="label of the key (default: derived from its id)"
    )
    issue_parser.add_argument(
        "--class", dest="request_class", default="", help="default request class of the key"
    )
    withdraw_parser = subparsers.add_parser(
        "withdraw",
        help="withdraw a key; this also ends calls in progress",
        epilog="Example: hickoryloom keys withdraw till-2",
    )
    withdraw_parser.add_argument(
        "key", help="label, id or hash of the key, or - to read the key from standard input"
    )
    list_parser = subparsers.add_parser(
        "list", help="list the active keys", epilog="Example: hickoryloom keys list"
    )
    list_parser.add_argument("--customer", default="", help="list only the keys of this customer")
    for subparser in (issue_parser, withdraw_parser, list_parser):
        add_platform_option(subparser)


@command(
    "keys",
    "Issue, withdraw and list API keys.",
    "hickoryloom keys issue --customer museum-shop --platform 10.20.0.10:9000",
    _add_arguments,
)
def run(options: argparse.Namespace) -> None:
    """Run the selected action on keys."""
    HANDLERS[options.keys_verb](options)


def _issue(options: argparse.Namespace) -> None:
    key = new_key()
    key_hash = hash_key(key)
    label = options.label or f"key-{key_hash[:KEY_ID_CHARS]}"
    _validate_name("--label", label)
    _validate_name("--customer", options.customer)
    record = KeyRecord(key_hash, options.customer, label, options.request_class, issued=True)
    result = issue_key(connect_platform(options), record)
    if result.is_err() and result.unwrap_err().kind is ChangeErrorKind.UNKNOWN:
        detail = f"{result.unwrap_err().detail}; withdraw {label} once the platform responds"
        raise UnavailableError(detail)
    generation = unwrap_change(result)
    print(key)
    print(
        f"{label}: id {key_hash[:KEY_ID_CHARS]}, in force as of generation {generation}; "
        "the key is not shown again",
        file=sys.stderr,
    )


def _withdraw(options: argparse.Namespace) -> None:
    name = options.key
    if is_key(name):
        raise UsageError(
            "don't write a key on the command line; pass - and send the key to standard input"
        )
    if name == "-":
        name = _read_key_hash()
    generation = unwrap_change(withdraw_key(connect_platform(options), name))
    print(f"withdrawn as of generation {generation}")


def _read_key_hash() -> str:
    key = sys.stdin.readline().strip()
    if not is_key(key):
        raise UsageError("standard input does not contain a valid key")
    return hash_key(key)


def _list(options: argparse.Namespace) -> None:
    keys = unwrap_change(list_keys(connect_platform(options)))
    selected = [key for key in keys if options.customer in ("", key.customer)]
    rows = [
        (
            key.customer,
            key.label,
            key.hash[:KEY_ID_CHARS],
            key.request_class or "-",
            "keys issue" if key.issued else "documents",
        )
        for key in selected
    ]
    print(render_table(("CUSTOMER", "LABEL", "ID", "CLASS", "FROM"), rows))


def _validate_name(option: str, value: str) -> None:
    try:
        Name().read(value)
    except InvalidValueError as error:
        [reason] = error.reasons
        raise UsageError(f"{option}: found {reason.found}; allowed: {reason.allowed}")


HANDLERS = {"issue": _issue, "withdraw": _withdraw, "list": _list}
