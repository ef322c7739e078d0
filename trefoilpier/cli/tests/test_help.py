"""Tests of the help texts of the operators' command line."""

import pytest
from cleo.testers import application_tester

from trefoilpier.cli import app

COMMANDS = [
    name
    for name in app.make_application().all()
    if name not in ("help", "list")
]


@pytest.mark.parametrize("name", COMMANDS)
def test_help_of_each_command_is_printed(name):
    tester = application_tester.ApplicationTester(app.make_application())
    assert tester.execute(f"{name} --help") == 0
    output = tester.io.fetch_output()
    assert name in output
    assert "{{" not in output
