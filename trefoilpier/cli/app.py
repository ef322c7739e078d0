"""``trefoilpier``: the operators' client."""

import sys

import cleo.application

from trefoilpier import __version__
from trefoilpier.cli import objects_commands, vm_commands


def make_application() -> cleo.application.Application:
    """Builds the application with its commands.

    >>> "publish" in make_application().all()
    True
    """
    application = cleo.application.Application("trefoilpier", __version__)
    for command in (*objects_commands.COMMANDS, *vm_commands.COMMANDS):
        application.add(command())
    return application


def run() -> None:
    """Runs one command and exits with its status."""
    sys.exit(make_application().run())


if __name__ == "__main__":
    run()
