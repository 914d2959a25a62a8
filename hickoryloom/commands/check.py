"""The `hickoryloom check` subcommand."""

from __future__ import annotations

import argparse
import os
from pathlib import Path

from result import Err

from hickoryloom.commands.registry import command
from hickoryloom.config import Fault, faults_error, read_settings_file
from hickoryloom.configuration import Documents, read_documents
from hickoryloom.exceptions import UsageError

__all__ = ["load_documents", "summarize"]

SETTINGS_FOLDER = "settings"
"""Subdirectory of the documents directory that contains the settings files of processes."""


def load_documents(directory: str) -> Documents:
    """Read and validate all documents in a directory tree.

    Raises:
        ConfigurationError: The documents are invalid; the message lists all faults.
    """
    result = read_documents(directory)
    if result.is_err():
        raise faults_error(result.unwrap_err())
    return result.unwrap()


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "directory", nargs="?", help="root of the directory tree with the documents"
    )
    parser.add_argument(
        "--settings",
        action="append",
        default=[],
        metavar="FILE",
        help="settings file to check; may be repeated",
    )


@command(
    "check",
    "Validate configuration documents and settings files without publishing anything.",
    "hickoryloom check examples/studio --settings examples/studio/settings/entry.json",
    _add_arguments,
)
def run(options: argparse.Namespace) -> None:
    """Validate the documents, the settings files next to them and those given by option."""
    if not options.directory and not options.settings:
        raise UsageError("specify a directory of documents or --settings FILE")
    faults: list[Fault] = []
    valid: list[str] = []
    for file in _settings_files(options):
        settings = read_settings_file(file, os.environ)
        if isinstance(settings, Err):
            faults += settings.err_value
        else:
            valid.append(f"{file}: sound")
    if options.directory:
        documents = read_documents(options.directory)
        if isinstance(documents, Err):
            faults += documents.err_value
        else:
            valid.append(f"{options.directory}: sound; {summarize(documents.ok_value)}")
    if faults:
        raise faults_error(faults)
    for line in valid:
        print(line)


def _settings_files(options: argparse.Namespace) -> list[Path]:
    """Return the settings files given by option and those in the documents directory, each once."""
    named = [Path(file) for file in options.settings]
    already_named = {path.resolve() for path in named}
    found_files: list[Path] = []
    if options.directory:
        found_files = sorted(Path(options.directory, SETTINGS_FOLDER).glob("*.json"))
    return named + [path for path in found_files if path.resolve() not in already_named]


def summarize(documents: Documents) -> str:
    """Return the number of records in each section as text."""
    counts = {
        "pools": documents.pools,
        "services": documents.services,
        "classes": documents.classes,
        "customers": documents.customers,
        "keys": documents.keys,
    }
    return ", ".join(f"{len(records)} {section}" for section, records in counts.items())
