import signal
import subprocess
import sys
from types import SimpleNamespace

import attrs
import gevent

from hickoryloom.commands import gateway as command
from hickoryloom.gateway.settings import GatewaySettings

SETTINGS = GatewaySettings("i", "d", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")


def test_settings_that_change_during_the_start_take_effect(monkeypatch, tmp_path):
    """Guards against missing a change between the first reading and the first check."""
    file, applied = tmp_path / "settings", []
    file.write_text("4.0")
    dialect = SimpleNamespace(
        settings=lambda _: attrs.evolve(SETTINGS, revoke_s=float(file.read_text())),
        settings_file=lambda _: str(file),
    )

    def build_gateway(settings, _dialect):
        file.write_text("2.25")
        return SimpleNamespace(apply_settings=lambda changed: applied.append(changed.revoke_s))

    monkeypatch.setattr(command, "configure_rate_limited_logging", lambda: None)
    monkeypatch.setattr(command, "load_dialect", lambda _: dialect)
    monkeypatch.setattr(command, "build_gateway", build_gateway)
    monkeypatch.setattr(command, "run_until_stopped", lambda *_, **__: gevent.sleep(0.1) or 0)
    assert command.run(SimpleNamespace(dialect="any")) == 0
    assert applied == [2.25]


FAILING_RELOAD = """
from gevent import monkey
monkey.patch_all()
import gevent
from gevent.event import Event
from hickoryloom.lifecycle import run_until_stopped
from hickoryloom.logs import configure_logging

reloaded_in_stop = Event()
is_stopping = False

class Process:
    addresses = {}
    def start(self):
        gevent.spawn(gevent.sleep, 60)
        print("started", flush=True)
    def stop(self):
        global is_stopping
        is_stopping = True
        print("stopping", flush=True)
        reloaded_in_stop.wait()
        gevent.sleep(0.1)
        print("stopped", flush=True)

def reload():
    print("reloading", flush=True)
    if is_stopping:
        reloaded_in_stop.set()
    raise ValueError("unexpected")

configure_logging()
raise SystemExit(run_until_stopped(Process(), reload=reload))
"""


def test_a_reload_that_raises_does_not_end_the_process():
    """Guards against ending all requests: gevent raises errors of signal handlers in `main`."""
    with subprocess.Popen(
        [sys.executable, "-c", FAILING_RELOAD],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        assert process.stdout.readline() == "started\n"
        for number, line in (
            (signal.SIGHUP, "reloading\n"),
            (signal.SIGTERM, "stopping\n"),
            (signal.SIGHUP, "reloading\n"),
        ):
            process.send_signal(number)
            assert process.stdout.readline() == line
        output, errors = process.communicate(timeout=8.0)
    assert (process.returncode, output) == (0, "stopped\n")
    assert errors.count("event=reload-failed") == 2
