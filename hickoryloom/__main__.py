"""Entry point of the command line."""

import os
import signal
import sys

if sys.argv[1:2] == ["gateway"]:
    # SIGHUP requests a reload. A starting process reads its settings anyway, and the default
    # action of the signal would end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey

monkey.patch_all()

from hickoryloom.commands import run

__all__ = ["main"]


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    return run(sys.argv[1:] if arguments is None else arguments)


if __name__ == "__main__":
    code = main()
    if sys.argv[1:2] == ["gateway"]:
        # Nothing is left to be done after a stop, and the teardown of the interpreter takes up to
        # 0.7 s on a busy machine, which the grace period can't spare.
        os._exit(code)
    sys.exit(code)
