"""The `hickoryloom explain` subcommand."""

from __future__ import annotations

import argparse
import json

from hickoryloom.commands.registry import command
from hickoryloom.exceptions import UnavailableError
from hickoryloom.http import JsonClient


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--admin", required=True, metavar="HOST:PORT", help="admin port of the entry"
    )
    parser.add_argument("request_id", help="value of the X-Request-Id response header")


@command(
    "explain",
    "Show the admission and routing decisions made for a request.",
    "hickoryloom explain --admin 127.0.0.1:9100 4f0c2a",
    _add_arguments,
)
def run(options: argparse.Namespace) -> None:
    """Print the recorded steps of one request, one per line."""
    result = JsonClient(options.admin).call("GET", f"/explain/{options.request_id}")
    if result.is_err():
        raise UnavailableError(f"no response from {options.admin}: {result.unwrap_err().detail}")
    response = result.unwrap()
    if response.status != 200:
        raise UnavailableError(f"{options.admin} has no record of request {options.request_id}")
    for step in response.body["steps"]:
        fields = {name: value for name, value in step.items() if name != "step"}
        print(f"{step['step']:<12} {json.dumps(fields)}")
