"""A short seeded run of the whole soak, with real processes."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]


def test_a_short_soak_breaks_no_promise():
    ended = subprocess.run(
        [sys.executable, "-m", "soak.main", "--seconds", "5", "--seed", "7"]
        + ["--vms", "3", "--rate", "20"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
