"""Round-robin load balancer with delayed readiness information."""

import contextlib
import http.client
import threading
import time

from standins import rig

_POLL_S = 0.25


class Balancer:
    """Round-robin choice among the entry VMs that were ready ``lag_s`` ago."""

    def __init__(self, *, target: rig.Rig, lag_s: float = 0.5) -> None:
        self._rig = target
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._request_count = 0
        self._ready: list[int] = list(range(len(target.nodes)))
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._poll_readiness, daemon=True
        )

    def start(self) -> None:
        """Start polling the readiness of the VMs."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()
        self._thread.join()

    def choose(self) -> int:
        """Return the index of the next VM."""
        with self._lock:
            self._request_count += 1
            ready = self._ready or list(range(len(self._rig.nodes)))
            return ready[self._request_count % len(ready)]

    def _poll_readiness(self) -> None:
        while not self._stopping.wait(_POLL_S):
            ready_nodes = [
                k for k in range(len(self._rig.nodes)) if self._is_ready(k)
            ]
            time.sleep(self._lag_s - _POLL_S)
            with self._lock:
                self._ready = ready_nodes

    def _is_ready(self, index: int) -> bool:
        port = self._rig.nodes[index].caller_port
        with contextlib.suppress(OSError, http.client.HTTPException):
            return (
                rig.send_request(port, "GET", "/ready", timeout=0.5).status
                == 200
            )
        return False
