"""The `standin` subcommand: help, usage errors and the ready file."""

import json

import pytest

from hickoryloom.commands import run
from tests.harness import Process


@pytest.mark.parametrize("kind", ["platform", "engine", "service"])
def test_help_shows_an_example(kind, capsys):
    with pytest.raises(SystemExit) as exited:
        run(["standin", kind, "--help"])
    assert exited.value.code == 0
    assert f"Example: hickoryloom standin {kind}" in " ".join(capsys.readouterr().out.split())


def test_unknown_kind_is_a_usage_error():
    with pytest.raises(SystemExit) as exited:
        run(["standin", "database"])
    assert exited.value.code == 2


def test_address_that_cannot_be_bound_is_an_error_without_a_traceback(capsys):
    assert run(["standin", "platform", "--listen", "203.0.113.1:1"]) == 1
    assert "Traceback" not in capsys.readouterr().err


def test_malformed_address_is_a_usage_error(capsys):
    with pytest.raises(SystemExit) as exited:
        run(["standin", "platform", "--listen", "nowhere"])
    assert exited.value.code == 2
    assert "HOST:PORT" in capsys.readouterr().err


def test_unreachable_platform_is_reported_with_its_address(capsys):
    assert run(["standin", "engine", "--platform", "127.0.0.1:1"]) == 1
    assert "127.0.0.1:1" in capsys.readouterr().err


@pytest.mark.processes
def test_ready_file_and_planned_stop(tmp_path):
    ready = str(tmp_path / "p.ready.json")
    process = Process(tmp_path, "p", ["standin", "platform", "--ready-file", ready])
    try:
        assert process.wait_ready()["address"].startswith("127.0.0.1:")
        assert json.loads((tmp_path / "p.ready.json").read_text())
        assert process.terminate() == 0
    finally:
        process.kill()
