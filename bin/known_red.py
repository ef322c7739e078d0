"""Printer of the known test failures that are listed in KNOWN-RED.txt."""

import pathlib

LIST = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def main() -> None:
    """Print all listed failures, so that every test run shows them."""
    lines = LIST.read_text().splitlines() if LIST.exists() else []
    entries = [line for line in lines if line and not line.startswith("#")]
    print(f"known failures: {len(entries)}")
    for entry in entries:
        print(f"  {entry}")


if __name__ == "__main__":
    main()
