from cleo import application
from cleo.testers import command_tester
import pytest

from daisypick_lab import commands


def _run(name, arguments):
    daisypick = application.Application()
    for command_class in commands.COMMANDS:
        daisypick.add(command_class())
    tester = command_tester.CommandTester(daisypick.find(name))
    return tester.execute(arguments), tester.io.fetch_error()


@pytest.mark.parametrize(
    ("name", "arguments", "reason"),
    [
        ("demo", "--seed x", "seed: 'x' is not a whole number"),
        ("measure", "--seed x", "seed: 'x' is not a whole number"),
        ("measure", "--deployment mars", "deployment: 'mars' is unknown"),
        ("measure", "--compare /nowhere.json", "compare: /nowhere.json"),
    ],
)
def test_invalid_options_are_reported(name, arguments, reason):
    exit_code, error = _run(name, arguments)
    assert exit_code == commands.EXIT_USAGE
    assert reason in error
