"""`hickoryloom publish`."""

from __future__ import annotations

import argparse

from hickoryloom.commands.change_result import unwrap_change
from hickoryloom.commands.check import load_documents, summarize
from hickoryloom.commands.platform_option import add_platform_option, connect_platform
from hickoryloom.commands.registry import command
from hickoryloom.configuration import publish

__all__: list[str] = []


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("directory", help="where services' folders with documents lie")
    parser.add_argument(
        "--after-generation",
        type=int,
        default=0,
        metavar="N",
        help="make a generation above N, after the platform was restored from a backup",
    )
    add_platform_option(parser)


@command(
    "publish",
    "Check operators' documents as a whole and put them in force.",
    "hickoryloom publish examples/studio --platform 10.20.0.10:9000",
    _add_arguments,
)
def run(options: argparse.Namespace) -> None:
    """Check the documents below a directory and publish them."""
    documents = load_documents(options.directory)
    generation = unwrap_change(
        publish(connect_platform(options), documents, after=options.after_generation)
    )
    print(f"generation {generation} is in force: {summarize(documents)}")
