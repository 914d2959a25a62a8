"""The verbs of the command line, one module each."""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Sequence

from hickoryloom.commands.registry import COMMANDS
from hickoryloom.exceptions import HickoryloomError

__all__ = ["build_parser", "run"]

EXIT_INTERRUPTED = 130
VERBS = (
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


def build_parser(chosen: Sequence[str] = VERBS) -> argparse.ArgumentParser:
    """Build the parser of the chosen verbs, whose modules alone are imported."""
    for verb in chosen:
        importlib.import_module(f"hickoryloom.commands.{verb}")
    parser = argparse.ArgumentParser(
        prog="hickoryloom",
        description="A router for language-model traffic with service levels and priorities.",
    )
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    for verb in chosen:
        command = COMMANDS[verb]
        sub = verbs.add_parser(
            verb,
            help=command.help,
            description=command.help,
            epilog=f"Example: {command.example}",
        )
        command.add_arguments(sub)
        sub.set_defaults(run=command.run)
    return parser


def run(arguments: list[str]) -> int:
    """Parse `arguments`, run the verb and return the exit code."""
    known = arguments[:1] if arguments and arguments[0] in VERBS else VERBS
    options = build_parser(known).parse_args(arguments)
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
