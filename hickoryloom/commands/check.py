"""`hickoryloom check`."""

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
"""Folder beside the documents that holds the settings of processes."""


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
    """Check documents, the settings beside them, and settings named."""
    if not options.directory and not options.settings:
        raise UsageError("name a directory of documents, or settings by --settings FILE")
    faults: list[Fault] = []
    sound: list[str] = []
    for file in _settings_files(options):
        settings = read_settings_file(file, os.environ)
        if isinstance(settings, Err):
            faults += settings.err_value
        else:
            sound.append(f"{file}: sound")
    if options.directory:
        documents = read_documents(options.directory)
        if isinstance(documents, Err):
            faults += documents.err_value
        else:
            sound.append(f"{options.directory}: sound; {summarize(documents.ok_value)}")
    if faults:
        raise faults_error(faults)
    for line in sound:
        print(line)


def _settings_files(options: argparse.Namespace) -> list[Path]:
    """Return the settings files that were named or lie beside the documents, each once."""
    named = [Path(file) for file in options.settings]
    known = {path.resolve() for path in named}
    beside: list[Path] = []
    if options.directory:
        beside = sorted(Path(options.directory, SETTINGS_FOLDER).glob("*.json"))
    return named + [path for path in beside if path.resolve() not in known]


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
