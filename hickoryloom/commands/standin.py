"""The `hickoryloom standin` subcommand, which runs the stand-in for one external system."""

from __future__ import annotations

import argparse
import json
import signal
from pathlib import Path
from typing import Any

from gevent import signal_handler
from gevent.event import Event

from hickoryloom.commands.registry import command
from hickoryloom.standins import (
    StandIn,
    build_engine,
    build_platform,
    build_service,
    register_backend,
)

EXAMPLES = {
    "platform": "hickoryloom standin platform --listen 127.0.0.1:7000",
    "engine": (
        "hickoryloom standin engine --platform 127.0.0.1:7000 --pool assistants "
        "--failure-domain huta-a"
    ),
    "service": (
        "hickoryloom standin service --platform 127.0.0.1:7000 --pool booking "
        "--failure-domain huta-a"
    ),
}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add one subparser for each kind of stand-in."""
    kinds = parser.add_subparsers(dest="kind", required=True, metavar="KIND")
    platform = kinds.add_parser(
        "platform", help="stand-in for the platform: objects, orders, live list, usage, weights"
    )
    _add_common_options(platform, "platform")
    engine = kinds.add_parser("engine", help="stand-in for a model engine")
    _add_common_options(engine, "engine")
    _add_backend_options(engine)
    engine.add_argument(
        "--model", default="assistant", help="name of the served model (default: %(default)s)"
    )
    engine.add_argument(
        "--slots", type=int, default=8, help="number of batch slots (default: %(default)s)"
    )
    engine.add_argument(
        "--token-ms",
        type=float,
        default=20.0,
        help="milliseconds between tokens (default: %(default)s)",
    )
    engine.add_argument(
        "--prefill-us",
        type=float,
        default=100.0,
        help="microseconds of prefill per prompt token (default: %(default)s)",
    )
    engine.add_argument(
        "--cached-prefixes",
        type=int,
        default=64,
        help="capacity of the prefix cache (default: %(default)s)",
    )
    engine.add_argument(
        "--ignore-fencing", action="store_true", help="accept orders with a stale fencing token"
    )
    service = kinds.add_parser(
        "service", help="stand-in for a plain service; counts the calls that it runs"
    )
    _add_common_options(service, "service")
    _add_backend_options(service)


def _add_common_options(parser: argparse.ArgumentParser, kind: str) -> None:
    parser.epilog = f"Example: {EXAMPLES[kind]}"
    parser.add_argument(
        "--listen",
        default="127.0.0.1:0",
        type=_address,
        metavar="HOST:PORT",
        help="address to listen on (default: %(default)s)",
    )
    parser.add_argument(
        "--ready-file", default="", help="file to write the bound address to, in JSON"
    )


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return text


def _add_backend_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--platform",
        default=None,
        type=_address,
        metavar="HOST:PORT",
        help="platform stand-in to register with",
    )
    parser.add_argument("--id", default="", help="id in the live list (default: pool and port)")
    parser.add_argument(
        "--pool", default="", help="pool of the backend server (default: kind of the stand-in)"
    )
    parser.add_argument(
        "--failure-domain",
        default="local",
        help="failure domain of the backend server (default: %(default)s)",
    )
    parser.add_argument(
        "--cheap", action="store_true", help="mark the server as cheap, so that it may be reclaimed"
    )
    parser.add_argument(
        "--spare", action="store_true", help="register as a spare server that waits for an order"
    )
    parser.add_argument("--credential", default="", help="bearer token that requests must carry")


@command(
    "standin",
    "Run a stand-in for the platform or for a backend server.",
    EXAMPLES["engine"],
    add_arguments,
)
def run(options: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    standin = BUILDERS[options.kind](options)
    stop_requested = Event()
    signal_handler(signal.SIGTERM, stop_requested.set)
    signal_handler(signal.SIGINT, stop_requested.set)
    standin.start()
    if getattr(options, "platform", None):
        register_backend(options.platform, _backend_row(options, standin.address), options.spare)
    _report_address(options.ready_file, standin.address)
    stop_requested.wait()
    standin.stop()


def _build_platform(options: argparse.Namespace) -> StandIn:
    return build_platform(options.listen)


def _build_engine(options: argparse.Namespace) -> StandIn:
    return build_engine(
        options.listen,
        model=options.model,
        slots=options.slots,
        cached_prefixes=options.cached_prefixes,
        credential=options.credential,
        token_ms=options.token_ms,
        prefill_us=options.prefill_us,
        fencing=not options.ignore_fencing,
    )


def _build_service(options: argparse.Namespace) -> StandIn:
    return build_service(options.listen, credential=options.credential)


BUILDERS = {"platform": _build_platform, "engine": _build_engine, "service": _build_service}


def _backend_row(options: argparse.Namespace, address: str) -> dict[str, Any]:
    pool = options.pool or options.kind
    return {
        "id": options.id or f"{pool}-{address.rpartition(':')[2]}",
        "address": address,
        "failure_domain": options.failure_domain,
        "pool": pool,
        "cheap": options.cheap,
        "state": "live",
    }


def _report_address(ready_file: str, address: str) -> None:
    ready = json.dumps({"address": address})
    print(ready, flush=True)
    if ready_file:
        partial = Path(f"{ready_file}.partial")
        partial.write_text(ready)
        partial.rename(ready_file)
