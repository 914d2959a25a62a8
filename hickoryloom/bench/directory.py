"""Cost of knowing backend servers: processor time of the directory and memory of the router.

    python -m hickoryloom.bench.directory --engine HOST:PORT

The engine is a stand-in that runs already; all backend servers of the run lead to it.
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
REPORTS = 20


def measure_polling(address: str, count: int, seconds: float) -> float:
    """Return the processor seconds a second of a directory of `count` backend servers."""
    clock = SystemClock()
    router = Router(clock, random.Random(1), "local")
    directory = BackendDirectory(None, clock, random.Random(1), router.report, router.cache_event)
    directory.subscribe(router.set_views)
    servers = tuple(StaticBackend(f"b{i}", address, "local") for i in range(count))
    pool = Pool("p", PoolKind.ENGINE, "m", servers=servers)
    directory.set_snapshot(Snapshot(1, pools={"p": pool}))
    directory.start()
    gevent.sleep(WARM_UP_S)
    began, cpu = time.monotonic(), time.process_time()
    gevent.sleep(seconds)
    cost = (time.process_time() - cpu) / (time.monotonic() - began)
    directory.stop()
    return cost


def measure_memory(count: int) -> int:
    """Return the bytes that a router holds for `count` backend servers with reports."""
    clock = SystemClock()
    tracemalloc.start()
    views = [BackendView(f"b{i}", f"10.0.0.{i}:1", "local", "p") for i in range(count)]
    router = Router(clock, random.Random(1), "local")
    router.set_views(views)
    for view in views:
        for _ in range(REPORTS):
            router.report(view.id, LoadReport(1, 0, 1.0, clock.monotonic()))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held


def main(arguments: list[str] | None = None) -> None:
    """Print the costs at 10 and at 3,000 backend servers."""
    parser = argparse.ArgumentParser(prog="python -m hickoryloom.bench.directory")
    parser.add_argument("--engine", required=True, metavar="HOST:PORT", help="a running stand-in")
    parser.add_argument("--seconds", type=float, default=10.0, help="seconds of each run")
    options = parser.parse_args(arguments)
    for count in (10, 3000):
        cost = measure_polling(options.engine, count, options.seconds)
        print(f"{count} backend servers: polling takes {cost * 100:.2f}% of a core", flush=True)
    for count in (10, 3000):
        print(f"{count} backend servers: the router holds {measure_memory(count) / 1024:.0f} KB")


if __name__ == "__main__":
    main(sys.argv[1:])
