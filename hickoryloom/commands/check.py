"""The `hickoryloom check` subcommand."""

from __future__ import annotations

import argparse
import json
import os
from pathlib import Path

from result import Err

from hickoryloom.catalog import Catalog, RetryLimits, check_catalog, list_differences
from hickoryloom.clock import SystemClock
from hickoryloom.commands.registry import command
from hickoryloom.config import Fault, faults_error, read_settings_file
from hickoryloom.configuration import Documents, read_documents
from hickoryloom.exceptions import ConfigurationError, UsageError
from hickoryloom.gateway import load_dialect
from hickoryloom.gateway.ports import Dialect
from hickoryloom.gateway.settings import GatewaySettings
from hickoryloom.store import PlatformClient

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
    parser.add_argument(
        "--catalog", metavar="FILE", help="configuration of gateways to check, as JSON"
    )
    parser.add_argument(
        "--against", metavar="FILE", help="configuration with which --catalog is compared"
    )
    parser.add_argument(
        "--in-force",
        action="store_true",
        help="compare --catalog with what the store of the gateway's settings has",
    )
    parser.add_argument(
        "--dialect",
        default="platform",
        metavar="NAME",
        help="format of the configuration of gateways (default: %(default)s)",
    )


@command(
    "check",
    "Validate configuration documents and settings files without publishing anything.",
    "hickoryloom check examples/studio --settings examples/studio/settings/entry.json",
    _add_arguments,
)
def run(options: argparse.Namespace) -> int | None:
    """Validate the documents, the settings files next to them and those given by option."""
    if options.catalog:
        return _check_catalog(options)
    if options.against or options.in_force:
        raise UsageError("specify --catalog FILE to compare it")
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
    return None


def _check_catalog(options: argparse.Namespace) -> int:
    """Report on the configuration of gateways; return 1 if there are findings, otherwise 0.

    Raises:
        ConfigurationError: A configuration can't be read.
    """
    if options.directory or options.settings or (options.against and options.in_force):
        raise UsageError("specify --catalog FILE alone, with --against FILE or with --in-force")
    dialect = load_dialect(options.dialect)
    catalog = _read_catalog(options.catalog, dialect)
    limits = GatewaySettings("", "", "", "", "")
    if dialect.settings_file(os.environ):
        limits = dialect.settings(os.environ)
    findings = check_catalog(catalog, RetryLimits(limits.retry_ratio, limits.retry_slack))
    for finding in findings:
        print(f"finding: {finding}")
    before = None
    if options.against:
        before = _read_catalog(options.against, dialect)
    elif options.in_force:
        before = _read_in_force(dialect)
    differences = [] if before is None else list_differences(before, catalog)
    for difference in differences:
        print(f"difference: {difference}")
    print(f"{options.catalog}: {len(findings)} findings, {len(differences)} differences")
    return 1 if findings else 0


def _read_catalog(file: str, dialect: Dialect) -> Catalog:
    try:
        value = json.loads(Path(file).read_text())
    except OSError as error:
        raise ConfigurationError(f"{file}: {error.strerror}")
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"{file}: not JSON: {error}")
    return _decode(file, value, dialect)


def _read_in_force(dialect: Dialect) -> Catalog:
    """Read the configuration from the store that the settings of the gateway name."""
    store = dialect.settings(os.environ).store
    client = PlatformClient(store, SystemClock(), codec=dialect.objects)
    try:
        read = client.get(dialect.catalog.key)
    finally:
        client.close()
    if isinstance(read, Err):
        raise ConfigurationError(f"store {store}: {read.err_value.detail}")
    return _decode(f"store {store}", read.ok_value.value, dialect)


def _decode(source: str, value: object, dialect: Dialect) -> Catalog:
    read = dialect.catalog.read(value)
    if isinstance(read, Err):
        raise ConfigurationError(f"{source}: {read.err_value}")
    return read.ok_value


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
