"""The command line."""

from gevent import monkey

monkey.patch_all()

import sys

from hickoryloom.commands import run

__all__ = ["main"]


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    return run(sys.argv[1:] if arguments is None else arguments)


if __name__ == "__main__":
    sys.exit(main())
