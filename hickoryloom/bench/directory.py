"""Measures the cost of tracking backend servers: CPU time of polling and memory of the router.

    python -m hickoryloom.bench.directory --engine HOST:PORT

The engine is a running stand-in, whose address all backend servers of the run share.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import argparse
import random
import sys
import time
import tracemalloc

import gevent

from hickoryloom.clock import SystemClock
from hickoryloom.configuration import Pool, PoolKind, Snapshot, StaticBackend
from hickoryloom.routing import BackendDirectory, BackendView, LoadReport, Router

__all__ = ["main", "measure_memory", "measure_polling"]

WARM_UP_S = 2.0
REPORTS_PER_SERVER = 20


def measure_polling(address: str, count: int, seconds: float) -> float:
    """Return the CPU share that a directory uses to poll `count` backend servers."""
    clock = SystemClock()
    router = Router(clock, random.Random(1), "local")
    directory = BackendDirectory(
        None, clock, random.Random(1), router.apply_load_report, router.apply_cache_event
    )
    directory.subscribe(router.set_views)
    servers = tuple(StaticBackend(f"b{i}", address, "local") for i in range(count))
    pool = Pool("p", PoolKind.ENGINE, "m", servers=servers)
    directory.set_snapshot(Snapshot(1, pools={"p": pool}))
    directory.start()
    gevent.sleep(WARM_UP_S)
    started_at, cpu_before = time.monotonic(), time.process_time()
    gevent.sleep(seconds)
    cpu_share = (time.process_time() - cpu_before) / (time.monotonic() - started_at)
    directory.stop()
    return cpu_share


def measure_memory(count: int) -> int:
    """Return the bytes of a router that holds load reports of `count` backend servers."""
    clock = SystemClock()
    tracemalloc.start()
    views = [BackendView(f"b{i}", f"10.0.0.{i}:1", "local", "p") for i in range(count)]
    router = Router(clock, random.Random(1), "local")
    router.set_views(views)
    for view in views:
        for _ in range(REPORTS_PER_SERVER):
            router.apply_load_report(view.id, LoadReport(1, 0, 1.0, clock.monotonic()))
    bytes_held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return bytes_held


def main(arguments: list[str] | None = None) -> None:
    """Print the costs for 10 and for 3,000 backend servers."""
    parser = argparse.ArgumentParser(prog="python -m hickoryloom.bench.directory")
    parser.add_argument(
        "--engine", required=True, metavar="HOST:PORT", help="address of a running engine stand-in"
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="duration of each measurement")
    options = parser.parse_args(arguments)
    for count in (10, 3000):
        cpu_share = measure_polling(options.engine, count, options.seconds)
        print(
            f"{count} backend servers: polling takes {cpu_share * 100:.2f}% of a core", flush=True
        )
    for count in (10, 3000):
        print(f"{count} backend servers: the router holds {measure_memory(count) / 1024:.0f} KB")


if __name__ == "__main__":
    main(sys.argv[1:])
