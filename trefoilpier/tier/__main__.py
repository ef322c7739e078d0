"""Entry point of the daemon: ``python3 -m trefoilpier.tier``."""

import gc
import signal

if __name__ == "__main__":
    # The default action of SIGHUP, which asks for a reload of the settings,
    # would end the process during startup. It can be ignored, since startup
    # reads the settings after the imports. They take most of the startup time,
    # so the daemon is imported after this call.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from trefoilpier.tier import lazy_modules

    # Imports create no garbage worth collecting; the daemon enables it again.
    gc.disable()
    lazy_modules.defer(frozenset(lazy_modules.IMPORTER_BY_MODULE))
    from trefoilpier.tier import daemon

    daemon.run()
