"""``python3 -m trefoilpier.tier``: the daemon of one entry VM."""

import signal

if __name__ == "__main__":
    # A request to read the settings again would end the process while it
    # starts; it reads them at the end of its start anyway. The imports of the
    # daemon take most of that time, so they come after.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from trefoilpier.tier import daemon

    daemon.run()
