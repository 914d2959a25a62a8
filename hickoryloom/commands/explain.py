"""`hickoryloom explain`."""

from __future__ import annotations

import argparse
import json

from hickoryloom.commands.registry import command
from hickoryloom.exceptions import UnavailableError
from hickoryloom.http import JsonClient


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--admin", required=True, metavar="HOST:PORT", help="entry's admin port")
    parser.add_argument("request_id", help="value of the X-Request-Id header of the answer")


@command(
    "explain",
    "Show why a request went where it went.",
    "hickoryloom explain --admin 127.0.0.1:9100 4f0c2a",
    _add_arguments,
)
def run(options: argparse.Namespace) -> None:
    """Print the steps of one request, a line each."""
    answer = JsonClient(options.admin).call("GET", f"/explain/{options.request_id}")
    if answer.is_err():
        raise UnavailableError(f"{options.admin} does not answer: {answer.unwrap_err().detail}")
    found = answer.unwrap()
    if found.status != 200:
        raise UnavailableError(f"{options.admin} does not know request {options.request_id}")
    for step in found.body["steps"]:
        fields = {name: value for name, value in step.items() if name != "step"}
        print(f"{step['step']:<12} {json.dumps(fields)}")
