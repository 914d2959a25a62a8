"""Subcommands of the command line, one module each."""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Sequence

from hickoryloom.commands.registry import COMMANDS
from hickoryloom.exceptions import HickoryloomError

__all__ = ["build_parser", "run"]

EXIT_INTERRUPTED = 130
SUBCOMMANDS = (
    "version",
    "entry",
    "control",
    "gateway",
    "publish",
    "check",
    "status",
    "keys",
    "demo",
    "standin",
    "bench",
    "soak",
    "explain",
)


def build_parser(names: Sequence[str] = SUBCOMMANDS) -> argparse.ArgumentParser:
    """Build the argument parser for the given subcommands; only their modules are imported."""
    for name in names:
        importlib.import_module(f"hickoryloom.commands.{name}")
    parser = argparse.ArgumentParser(
        prog="hickoryloom",
        description="A router for language-model traffic with service levels and priorities.",
    )
    subparsers = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    for name in names:
        command = COMMANDS[name]
        subparser = subparsers.add_parser(
            name,
            help=command.help,
            description=command.help,
            epilog=f"Example: {command.example}",
        )
        command.add_arguments(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def run(arguments: list[str]) -> int:
    """Parse `arguments`, run the subcommand and return the exit code."""
    names = arguments[:1] if arguments and arguments[0] in SUBCOMMANDS else SUBCOMMANDS
    options = build_parser(names).parse_args(arguments)
    try:
        return int(options.run(options) or 0)
    except HickoryloomError as error:
        print(f"hickoryloom {options.verb}: {error}", file=sys.stderr)
        return error.exit_code
    except BrokenPipeError:
        return 1
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except OSError as error:
        print(f"hickoryloom {options.verb}: {error}", file=sys.stderr)
        return 1
