"""Logs never make a process wait: a full pipe costs lines, and they are counted."""

import os
import time

import logbook

from hickoryloom.logs import BoundedHandler, log_event

log = logbook.Logger("test")


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    got = b""
    try:
        while block := os.read(descriptor, 65536):
            got += block
    except BlockingIOError:
        pass
    return got


def test_a_full_pipe_costs_lines_and_no_time():
    reading, writing = os.pipe()
    handler = BoundedHandler(writing, lines_per_s=1_000_000)
    with handler.applicationbound():
        began = time.monotonic()
        for number in range(3_000):
            log_event(log, "filling", number=number, text="x" * 200)
        assert time.monotonic() - began < 5.0
        assert handler.left_out > 0
        left_out = handler.left_out
        got = read_all(reading)
        log_event(log, "after")
        got += read_all(reading)
    lines = got.decode().splitlines()
    assert all(line.startswith("time=") for line in lines)
    assert lines[-1].endswith(f"event=after left_out={left_out}")


def test_the_rate_is_bounded_and_what_is_left_out_is_counted():
    reading, writing = os.pipe()
    handler = BoundedHandler(writing, lines_per_s=10)
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


def test_a_closed_pipe_does_not_end_the_process():
    reading, writing = os.pipe()
    handler = BoundedHandler(writing)
    os.close(reading)
    with handler.applicationbound():
        log_event(log, "nobody-reads")
        log_event(log, "nobody-reads")
