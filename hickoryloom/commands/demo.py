"""The `hickoryloom demo` subcommand."""

from __future__ import annotations

import argparse
from pathlib import Path

import gevent
from gevent.event import Event

from hickoryloom.commands.registry import command
from hickoryloom.demo import Deployment, render_summary, run_scenario
from hickoryloom.exceptions import UsageError
from hickoryloom.logs import configure_logging

EXAMPLES_DIRECTORY = Path(__file__).resolve().parent.parent.parent / "examples"
DEPLOYMENTS = ("studio", "franchise")


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--examples",
        type=Path,
        default=EXAMPLES_DIRECTORY,
        help="directory that contains the example deployments",
    )
    parser.add_argument(
        "--serve", action="store_true", help="keep the studio deployment running until Ctrl-C"
    )
    parser.add_argument(
        "--log-level", default="ERROR", help="minimum log level (default: %(default)s)"
    )


@command(
    "demo",
    "Run the example deployments on the loopback interface and send requests to them.",
    "hickoryloom demo",
    _add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Run the demo, or with `--serve` keep the first deployment running."""
    configure_logging(options.log_level)
    for name in DEPLOYMENTS:
        if not (options.examples / name).is_dir():
            raise UsageError(f"--examples: {options.examples} has no directory {name!r}")
    if options.serve:
        return _serve(options.examples / DEPLOYMENTS[0])
    for name in DEPLOYMENTS:
        _run_deployment(name, options.examples / name)
    return 0


def _run_deployment(name: str, directory: Path) -> None:
    print(f"{name}: starting", flush=True)
    deployment = Deployment(directory)
    deployment.start()
    print(f"{name}: {len(deployment.entries)} entries and control on loopback", flush=True)
    run_scenario(deployment, lambda line: print(line, flush=True))
    print(render_summary(deployment), flush=True)
    deployment.stop()


def _serve(directory: Path) -> int:
    deployment = Deployment(directory)
    deployment.start()
    customer = next(iter(deployment.documents.customers))
    model = next(pool.model for pool in deployment.documents.pools.values() if pool.model)
    entry = deployment.entries[0].addresses
    print(f"platform {deployment.platform_address}, operators' port {entry['admin']}; try:")
    print(
        f"curl -N http://{entry['listen']}/v1/chat/completions "
        f"-H 'Authorization: Bearer {deployment.get_key(customer)}' "
        "-H 'Content-Type: application/json' "
        f'-d \'{{"model": "{model}", "stream": true, '
        '"messages": [{"role": "user", "content": "Hello"}]}\'',
        flush=True,
    )
    try:
        Event().wait()
    except KeyboardInterrupt:
        gevent.sleep(0)
    deployment.stop()
    return 0
