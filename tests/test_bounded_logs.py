"""Logging never blocks a process: lines that a full pipe can't take are dropped and counted."""

import os
import time

import logbook

from hickoryloom.logs import RateLimitedHandler, log_event

log = logbook.Logger("test")


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while block := os.read(descriptor, 65536):
            data += block
    except BlockingIOError:
        pass
    return data


def test_full_pipe_drops_lines_without_blocking():
    reading, writing = os.pipe()
    handler = RateLimitedHandler(writing, lines_per_s=1_000_000)
    with handler.applicationbound():
        started_at = time.monotonic()
        for number in range(3_000):
            log_event(log, "filling", number=number, text="x" * 200)
        assert time.monotonic() - started_at < 5.0
        assert handler.left_out > 0
        dropped = handler.left_out
        output = read_all(reading)
        log_event(log, "after")
        output += read_all(reading)
    lines = output.decode().splitlines()
    assert all(line.startswith("time=") for line in lines)
    assert lines[-1].endswith(f"event=after left_out={dropped}")


def test_rate_is_limited_and_dropped_lines_are_counted():
    reading, writing = os.pipe()
    handler = RateLimitedHandler(writing, lines_per_s=10)
    with handler.applicationbound():
        while time.monotonic() % 1 > 0.5:
            time.sleep(0.01)
        for number in range(50):
            log_event(log, "burst", number=number)
        time.sleep(1.1)
        log_event(log, "after")
    lines = read_all(reading).decode().splitlines()
    assert len(lines) == 11
    assert lines[-1].endswith("left_out=40")


def test_closed_pipe_does_not_raise():
    reading, writing = os.pipe()
    handler = RateLimitedHandler(writing)
    os.close(reading)
    with handler.applicationbound():
        log_event(log, "nobody-reads")
        log_event(log, "nobody-reads")
