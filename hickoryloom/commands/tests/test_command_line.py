"""Every verb explains itself, and no error reaches a user as a traceback."""

import pytest

from hickoryloom import __version__
from hickoryloom.commands import VERBS, run


@pytest.mark.parametrize("verb", VERBS)
def test_help_shows_an_example(verb, capsys):
    with pytest.raises(SystemExit) as ended:
        run([verb, "--help"])
    assert ended.value.code == 0
    shown = " ".join(capsys.readouterr().out.split())
    assert f"Example: hickoryloom {verb}" in shown


def test_help_lists_all_verbs(capsys):
    with pytest.raises(SystemExit) as ended:
        run(["--help"])
    assert ended.value.code == 0
    shown = capsys.readouterr().out
    assert all(verb in shown for verb in VERBS)


@pytest.mark.parametrize("arguments", [[], ["nonesuch"], ["entry"], ["explain", "x"], ["status"]])
def test_wrong_usage_exits_with_2(arguments, capsys, monkeypatch):
    monkeypatch.delenv("HICKORYLOOM_PLATFORM", raising=False)
    try:
        code = run(arguments)
    except SystemExit as ended:
        code = ended.code
    assert code == 2
    assert "Traceback" not in capsys.readouterr().err


@pytest.mark.parametrize("verb", ["entry", "control"])
def test_all_faults_of_settings_are_listed(verb, tmp_path, capsys):
    settings = tmp_path / "settings.json"
    settings.write_text('{"instance": 3, "failure_domain": "huta-a", "windows": 1}')
    assert run([verb, "--settings", str(settings)]) == 2
    shown = capsys.readouterr().err
    for part in (str(settings), "instance", "platform", "windows"):
        assert part in shown
    assert run([verb, "--settings", str(tmp_path / "missing.json")]) == 2


def test_version(capsys):
    assert run(["version"]) == 0
    assert capsys.readouterr().out.strip() == __version__
