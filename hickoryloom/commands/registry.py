"""Registry of the command line's verbs."""

from __future__ import annotations

import argparse
from collections.abc import Callable

import attrs

__all__ = ["COMMANDS", "Command", "command"]

AddArguments = Callable[[argparse.ArgumentParser], None]
Run = Callable[[argparse.Namespace], int | None]


@attrs.frozen
class Command:
    """One verb.

    Attributes:
        name: What users type.
        help: One line on what it does.
        example: A whole command line.
        add_arguments: Declares its options.
        run: Does the work and returns an exit code, None for 0.
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
    """Register the decorated function as a verb."""

    def register(run: Run) -> Run:
        COMMANDS[name] = Command(name, help, example, add_arguments, run)
        return run

    return register
