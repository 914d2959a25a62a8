"""Output and exit codes of the `check`, `publish` and `keys` subcommands."""

import io
import json
import shutil
from pathlib import Path

import pytest

from hickoryloom.commands import run
from hickoryloom.keys import is_key
from hickoryloom.standins import build_platform

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
UNREACHABLE_PLATFORM = "127.0.0.1:1"


@pytest.fixture
def platform():
    platform = build_platform()
    platform.start()
    yield platform.address
    platform.stop()


@pytest.fixture
def published(platform, capsys):
    assert run(["publish", str(EXAMPLES / "studio"), "--platform", platform]) == 0
    capsys.readouterr()
    return platform


def issue_key(platform, capsys, *options):
    arguments = ["keys", "issue", "--customer", "museum-shop", "--platform", platform, *options]
    assert run(arguments) == 0
    return capsys.readouterr().out.splitlines()[-1]


def list_output(platform, capsys):
    capsys.readouterr()
    assert run(["keys", "list", "--platform", platform]) == 0
    return capsys.readouterr().out


@pytest.mark.parametrize("user", ["studio", "franchise"])
def test_check_accepts_both_examples_with_their_settings(user, capsys):
    settings = [f"--settings={EXAMPLES / user / 'settings' / name}.json" for name in SETTINGS]
    assert run(["check", str(EXAMPLES / user), *settings]) == 0
    out = capsys.readouterr().out
    assert "10 customers" in out and out.count("sound") == 3


SETTINGS = ("entry", "control")


def test_check_lists_all_faults_and_exits_with_2(tmp_path, capsys):
    (tmp_path / "hickoryloom.json").write_text(json.dumps({"classes": {"a": {}}, "x": 1}))
    assert run(["check", str(tmp_path)]) == 2
    err = capsys.readouterr().err
    assert "4 faults found" in err and "classes.a.tier" in err and "Traceback" not in err
    assert run(["check"]) == 2
    assert run(["check", "--settings", str(tmp_path / "none.json")]) == 2


def test_check_reports_invalid_settings_next_to_the_documents(tmp_path, capsys):
    example = tmp_path / "studio"
    shutil.copytree(EXAMPLES / "studio", example)
    assert run(["check", str(example)]) == 0
    assert capsys.readouterr().out.count("sound") == 3
    (example / "settings" / "entry.json").write_text('{"listen": 5, "no-such-setting": 1}')
    (example / "settings" / "control.json").write_text("{")
    assert run(["check", str(example)]) == 2
    output = capsys.readouterr()
    assert "no-such-setting" in output.err and "listen" in output.err
    assert "control.json" in output.err and "Traceback" not in output.err
    assert "sound" not in output.out


def test_publish_prints_the_generation_and_rejects_invalid_documents(platform, tmp_path, capsys):
    assert run(["publish", str(EXAMPLES / "franchise"), "--platform", platform]) == 0
    assert "generation 1 is in force" in capsys.readouterr().out
    (tmp_path / "hickoryloom.json").write_text('{"pools": {"p": {"kind": "none"}}}')
    assert run(["publish", str(tmp_path), "--platform", platform]) == 2
    assert run(["publish", str(EXAMPLES / "franchise"), "--platform", platform]) == 0
    assert "generation 1 is in force" in capsys.readouterr().out


def test_issued_key_is_printed_once_and_listed_without_its_secret(published, capsys):
    key = issue_key(published, capsys, "--label", "till-2", "--class", "guest-answer")
    assert is_key(key)
    listed = list_output(published, capsys)
    assert "till-2" in listed and "guest-answer" in listed and key not in listed


def test_key_is_withdrawn_by_label_by_id_or_by_value(published, capsys, monkeypatch):
    issue_key(published, capsys, "--label", "by-label")
    assert run(["keys", "withdraw", "by-label", "--platform", published]) == 0
    issue_key(published, capsys, "--label", "by-id")
    key_id = list_output(published, capsys).splitlines()[1].split()[2]
    assert run(["keys", "withdraw", key_id, "--platform", published]) == 0
    key = issue_key(published, capsys)
    monkeypatch.setattr("sys.stdin", io.StringIO(f"{key}\n"))
    assert run(["keys", "withdraw", "-", "--platform", published]) == 0
    assert len(list_output(published, capsys).splitlines()) == 1
    monkeypatch.setattr("sys.stdin", io.StringIO("not a key\n"))
    assert run(["keys", "withdraw", "-", "--platform", published]) == 2
    assert run(["keys", "withdraw", "by-label", "--platform", published]) == 1


@pytest.mark.parametrize(
    ("arguments", "code", "part"),
    [
        (["keys", "issue", "--customer", "nobody"], 1, "no customer is named 'nobody'"),
        (["keys", "issue", "--customer", "archive", "--class", "x"], 2, "allowed: handbook-digest"),
        (["keys", "issue", "--customer", "Archive!"], 2, "--customer: found"),
        (["keys", "withdraw", "hlk_" + "0" * 43], 2, "don't write a key on the command line"),
    ],
)
def test_rejected_change_prints_the_reason(published, capsys, arguments, code, part):
    assert run([*arguments, "--platform", published]) == code
    err = capsys.readouterr().err
    assert part in err and "hlk_0" not in err


@pytest.mark.parametrize("verb", [["keys", "list"], ["keys", "issue", "--customer", "a"]])
def test_unreachable_platform_is_reported_without_a_traceback(verb, capsys, monkeypatch):
    monkeypatch.setattr("hickoryloom.configuration.publishing.ATTEMPTS", 2)
    assert run([*verb, "--platform", UNREACHABLE_PLATFORM]) == 1
    assert "Traceback" not in capsys.readouterr().err
    monkeypatch.delenv("HICKORYLOOM_PLATFORM", raising=False)
    assert run([*verb, "--platform", "nowhere"]) == 2
    assert "host:port" in capsys.readouterr().err
