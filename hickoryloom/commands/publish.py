"""The `hickoryloom publish` subcommand."""

from __future__ import annotations

import argparse

from hickoryloom.commands.change_result import unwrap_change
from hickoryloom.commands.check import load_documents, summarize
from hickoryloom.commands.platform_option import add_platform_option, connect_platform
from hickoryloom.commands.registry import command
from hickoryloom.configuration import publish

__all__: list[str] = []


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("directory", help="root of the directory tree with the documents")
    parser.add_argument(
        "--after-generation",
        type=int,
        default=0,
        metavar="N",
        help="publish a generation above N; needed after the platform was restored from a backup",
    )
    add_platform_option(parser)


@command(
    "publish",
    "Validate the configuration documents as a whole and publish them.",
    "hickoryloom publish examples/studio --platform 10.20.0.10:9000",
    _add_arguments,
)
def run(options: argparse.Namespace) -> None:
    """Validate the documents in a directory tree and publish them."""
    documents = load_documents(options.directory)
    generation = unwrap_change(
        publish(connect_platform(options), documents, after_generation=options.after_generation)
    )
    print(f"generation {generation} is in force: {summarize(documents)}")
