"""Registry of the subcommands of the command line."""

from __future__ import annotations

import argparse
from collections.abc import Callable

import attrs

__all__ = ["COMMANDS", "Command", "command"]

AddArguments = Callable[[argparse.ArgumentParser], None]
Run = Callable[[argparse.Namespace], int | None]


@attrs.frozen
class Command:
    """A subcommand.

    Attributes:
        name: Name on the command line.
        help: One-line description.
        example: Complete command line, shown in the help.
        add_arguments: Adds the arguments of the subcommand to its parser.
        run: Runs the subcommand and returns the exit code; None counts as 0.
    """

    name: str
    help: str
    example: str
    add_arguments: AddArguments
    run: Run


COMMANDS: dict[str, Command] = {}


def command(
    name: str, help: str, example: str, add_arguments: AddArguments = lambda parser: None
) -> Callable[[Run], Run]:
    """Register the decorated function as a subcommand."""

    def register(run: Run) -> Run:
        COMMANDS[name] = Command(name, help, example, add_arguments, run)
        return run

    return register
