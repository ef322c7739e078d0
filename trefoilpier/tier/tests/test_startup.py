"""What reaches the process before it serves."""

import contextlib
import errno
import os
import signal
import subprocess
import sys
import time

from trefoilpier import platform
from trefoilpier.tier import daemon

_LOOK_S = 0.01


def _open_when_read(path, process):
    """Opens a pipe to write as soon as the process has opened it to read."""
    while process.poll() is None:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as failed:
            if failed.errno != errno.ENXIO:
                raise
            time.sleep(_LOOK_S)
    raise AssertionError(f"ended with {process.returncode} before its settings")


def test_hang_up_before_the_settings_are_read_does_not_end_the_process(
    tmp_path,
):
    # Soak seed 309: a VM was told to read its settings again one second after
    # its loss, while its process started, and ended by itself.
    path = tmp_path / "settings"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "trefoilpier.tier"],
        env={**os.environ, platform.BOOT_VARIABLE: str(path)},
        stderr=subprocess.PIPE,
    )
    settings = _open_when_read(path, process)
    process.send_signal(signal.SIGHUP)
    # The process may have ended: then its status tells, not this write.
    with contextlib.suppress(BrokenPipeError):
        os.write(settings, b"node-name=vm\n")
    os.close(settings)
    process.communicate()
    assert process.returncode == daemon.EXIT_INVALID_SETTINGS
