"""The ``trefoilpier`` command for operators."""

import sys

import cleo.application

from trefoilpier import __version__
from trefoilpier.cli import (
    account_commands,
    objects_commands,
    quarantine_commands,
    vm_commands,
)


def make_application() -> cleo.application.Application:
    """Build the application with all its commands.

    >>> "publish" in make_application().all()
    True
    """
    application = cleo.application.Application("trefoilpier", __version__)
    for command in (
        *objects_commands.COMMANDS,
        *vm_commands.COMMANDS,
        *quarantine_commands.COMMANDS,
        *account_commands.COMMANDS,
    ):
        application.add(command())
    return application


def run() -> None:
    """Run the command line and exit with its status."""
    sys.exit(make_application().run())


if __name__ == "__main__":
    run()
