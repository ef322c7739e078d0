"""Test of signals that arrive while the process starts."""

import contextlib
import errno
import os
import signal
import subprocess
import sys
import time

from trefoilpier import platform
from trefoilpier.tier import daemon

_OPEN_RETRY_PAUSE_S = 0.01


def _open_for_writing(path, process):
    """Open a named pipe for writing once the process reads from it."""
    while process.poll() is None:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
            time.sleep(_OPEN_RETRY_PAUSE_S)
    raise AssertionError(
        f"exited with {process.returncode} before reading settings"
    )


def test_sighup_before_settings_are_read_does_not_end_process(
    tmp_path,
):
    # Guards against the default action of SIGHUP, which ended the process in
    # soak seed 309: the signal to reload the settings arrived one second after
    # the loss of the VM, while its process was starting again.
    path = tmp_path / "settings"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "trefoilpier.tier"],
        env={**os.environ, platform.BOOT_VARIABLE: str(path)},
        stderr=subprocess.PIPE,
    )
    settings = _open_for_writing(path, process)
    process.send_signal(signal.SIGHUP)
    # If the process has ended, its exit status is checked below.
    with contextlib.suppress(BrokenPipeError):
        os.write(settings, b"node-name=vm\n")
    os.close(settings)
    process.communicate()
    assert process.returncode == daemon.EXIT_INVALID_SETTINGS


def test_imports_of_the_daemon_leave_out_what_it_does_not_use():
    # After a loss of all VMs, callers wait for the imports of each process.
    script = (
        "import sys\n"
        "from trefoilpier.tier import lazy_modules\n"
        "for name in lazy_modules.UNUSED_BY_DAEMON:\n"
        "    lazy_modules.load_lazily(name)\n"
        "from trefoilpier.tier import daemon\n"
        "print('http.client' in sys.modules, 'email' in sys.modules)\n"
    )
    run = subprocess.run(
        [sys.executable, "-c", script],
        capture_output=True,
        text=True,
        check=True,
    )
    assert run.stdout.split() == ["False", "False"]
