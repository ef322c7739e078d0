"""What reaches the process before it serves."""

import os
import signal
import subprocess
import sys

from trefoilpier import platform
from trefoilpier.tier import daemon


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
    # Opening ends when the process has come to reading its settings.
    with path.open("w") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write("node-name=vm\n")
    process.communicate()
    assert process.returncode == daemon.EXIT_SETTINGS
