import pytest

from hickoryloom.commands import run


@pytest.mark.parametrize(
    ("arguments", "part"),
    [
        ([], "--seeds"),
        (["--seeds", "1", "--faults", "flood"], "'flood'"),
        (["--seeds", "1", "--instances", "0"], "--instances: found 0"),
        (["--seeds", "1", "--planned", "--faults", "kill"], "--planned"),
        (["--seeds", "1", "--seconds", "0"], "--seconds: found 0"),
    ],
)
def test_invalid_options_are_rejected_with_a_reason(arguments, part, capsys):
    assert run(["soak", *arguments]) == 2
    assert part in capsys.readouterr().err
