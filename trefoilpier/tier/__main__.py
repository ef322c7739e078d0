"""``python3 -m trefoilpier.tier``: the daemon of one entry VM."""

from trefoilpier.tier import daemon

if __name__ == "__main__":
    daemon.run()
