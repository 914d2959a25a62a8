"""Every subcommand has a help text with an example, and no error is shown as a traceback."""

import pytest

from hickoryloom import __version__
from hickoryloom.commands import SUBCOMMANDS, run


@pytest.mark.parametrize("verb", SUBCOMMANDS)
def test_help_shows_an_example(verb, capsys):
    with pytest.raises(SystemExit) as exited:
        run([verb, "--help"])
    assert exited.value.code == 0
    output = " ".join(capsys.readouterr().out.split())
    assert f"Example: hickoryloom {verb}" in output


def test_help_lists_all_subcommands(capsys):
    with pytest.raises(SystemExit) as exited:
        run(["--help"])
    assert exited.value.code == 0
    output = capsys.readouterr().out
    assert all(verb in output for verb in SUBCOMMANDS)


@pytest.mark.parametrize("arguments", [[], ["nonesuch"], ["entry"], ["explain", "x"], ["status"]])
def test_usage_error_exits_with_2(arguments, capsys, monkeypatch):
    monkeypatch.delenv("HICKORYLOOM_PLATFORM", raising=False)
    try:
        code = run(arguments)
    except SystemExit as exited:
        code = exited.code
    assert code == 2
    assert "Traceback" not in capsys.readouterr().err


@pytest.mark.parametrize("verb", ["entry", "control"])
def test_all_settings_faults_are_listed(verb, tmp_path, capsys):
    settings = tmp_path / "settings.json"
    settings.write_text('{"instance": 3, "failure_domain": "huta-a", "windows": 1}')
    assert run([verb, "--settings", str(settings)]) == 2
    output = capsys.readouterr().err
    for part in (str(settings), "instance", "platform", "windows"):
        assert part in output
    assert run([verb, "--settings", str(tmp_path / "missing.json")]) == 2


def test_version(capsys):
    assert run(["version"]) == 0
    assert capsys.readouterr().out.strip() == __version__
