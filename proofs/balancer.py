"""A round-robin balancer that learns of readiness late."""

import contextlib
import http.client
import threading
import time

from standins import rig

_POLL_S = 0.25


class Balancer:
    """Gives out entry VMs in turn; a VM's state is up to its lag old."""

    def __init__(self, *, target: rig.Rig, lag_s: float = 0.5) -> None:
        self._rig = target
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._turn = 0
        self._ready: list[int] = list(range(len(target.nodes)))
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def start(self) -> None:
        """Begins to ask the VMs for their readiness."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the asking."""
        self._ended.set()
        self._thread.join()

    def choose(self) -> int:
        """Returns the index of the next VM."""
        with self._lock:
            self._turn += 1
            ready = self._ready or list(range(len(self._rig.nodes)))
            return ready[self._turn % len(ready)]

    def _watch(self) -> None:
        while not self._ended.wait(_POLL_S):
            seen = [k for k in range(len(self._rig.nodes)) if self._asks(k)]
            time.sleep(self._lag_s - _POLL_S)
            with self._lock:
                self._ready = seen

    def _asks(self, index: int) -> bool:
        port = self._rig.nodes[index].caller_port
        with contextlib.suppress(OSError, http.client.HTTPException):
            return rig.ask(port, "GET", "/ready", timeout=0.5).status == 200
        return False
