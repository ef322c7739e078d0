"""Short run of the soak test with a fixed seed and real processes."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]


def test_short_soak_violates_no_guarantee():
    completed = subprocess.run(
        [sys.executable, "-m", "soak.main", "--seconds", "5", "--seed", "7"]
        + ["--vms", "3", "--rate", "20"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
