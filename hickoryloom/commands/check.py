"""`hickoryloom check`."""

from __future__ import annotations

import argparse
import os

from hickoryloom.commands.registry import command
from hickoryloom.config import faults_error, load_settings
from hickoryloom.configuration import Documents, read_documents
from hickoryloom.exceptions import UsageError

__all__ = ["load_documents", "summarize"]


def load_documents(directory: str) -> Documents:
    """Return the checked documents below a directory.

    Raises:
        ConfigurationError: There is any fault; the message lists all.
    """
    found = read_documents(directory)
    if found.is_err():
        raise faults_error(found.unwrap_err())
    return found.unwrap()


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("directory", nargs="?", help="where services' folders with documents lie")
    parser.add_argument(
        "--settings", action="append", default=[], metavar="FILE", help="a process's settings"
    )


@command(
    "check",
    "Check operators' documents and settings without putting anything in force.",
    "hickoryloom check examples/studio --settings examples/studio/settings/entry.json",
    _add_arguments,
)
def run(options: argparse.Namespace) -> None:
    """Check documents, settings or both."""
    if not options.directory and not options.settings:
        raise UsageError("name a directory of documents, or settings by --settings FILE")
    for file in options.settings:
        load_settings(file, os.environ)
        print(f"{file}: sound")
    if options.directory:
        documents = load_documents(options.directory)
        print(f"{options.directory}: sound; {summarize(documents)}")


def summarize(documents: Documents) -> str:
    """Return the number of records in each section."""
    counts = {
        "pools": documents.pools,
        "services": documents.services,
        "classes": documents.classes,
        "customers": documents.customers,
        "keys": documents.keys,
    }
    return ", ".join(f"{len(records)} {section}" for section, records in counts.items())
