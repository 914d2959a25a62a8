"""The command `standin`: help, wrong usage and the ready file."""

import json

import pytest

from hickoryloom.commands import run
from tests.harness import Process


@pytest.mark.parametrize("kind", ["platform", "engine", "service"])
def test_help_shows_an_example(kind, capsys):
    with pytest.raises(SystemExit) as ended:
        run(["standin", kind, "--help"])
    assert ended.value.code == 0
    assert f"Example: hickoryloom standin {kind}" in " ".join(capsys.readouterr().out.split())


def test_unknown_kind_is_wrong_usage():
    with pytest.raises(SystemExit) as ended:
        run(["standin", "database"])
    assert ended.value.code == 2


def test_address_that_cannot_be_bound_is_an_error_without_a_traceback(capsys):
    assert run(["standin", "platform", "--listen", "203.0.113.1:1"]) == 1
    assert "Traceback" not in capsys.readouterr().err


def test_malformed_address_is_wrong_usage(capsys):
    with pytest.raises(SystemExit) as ended:
        run(["standin", "platform", "--listen", "nowhere"])
    assert ended.value.code == 2
    assert "HOST:PORT" in capsys.readouterr().err


def test_platform_that_is_down_is_an_error_without_a_traceback(capsys):
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
