"""Open-loop load generator that records every search and reservation."""

import concurrent.futures
import dataclasses
import http.client
import random
import threading
import time
from typing import Any

from proofs import balancer
from standins import rig

_WORKERS = 64
_TIMEOUT_S = 6.0
_ATTEMPTS_MAX = 3
_DUPLICATE_EVERY = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestRecord:
    """One request and its outcome.

    Attributes:
        service: Name of the service.
        text: Text of the search, unique to the request.
        key: Idempotency key, or empty.
        node: Index of the entry VM.
        sent_at: Monotonic time of sending, in seconds.
        duration_s: Seconds until the answer or the loss of the connection.
        status: HTTP status; 0 if the connection was lost.
        response: Decoded body of the answer.
    """

    service: str
    text: str
    key: str
    node: int
    sent_at: float
    duration_s: float = 0.0
    status: int = 0
    response: dict[str, Any] = dataclasses.field(default_factory=dict)


class LoadGenerator:
    """Open-loop load at random times through a load balancer.

    A reservation whose answer is lost or not final is retried with the same
    idempotency key through another VM, as a caller would.
    """

    def __init__(
        self,
        *,
        target: rig.Rig,
        load_balancer: balancer.Balancer,
        seed: int,
        searches: float = 30.0,
        reservations: float = 8.0,
    ) -> None:
        self._rig = target
        self._balancer = load_balancer
        self._random = random.Random(seed)
        self._rates = (searches, reservations)
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(_WORKERS)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._seed = seed
        self.requests: list[RequestRecord] = []

    def start(self) -> None:
        """Start sending."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending and wait for all answers."""
        self._stopping.set()
        self._thread.join()
        self._pool.shutdown(wait=True)

    def _run(self) -> None:
        count = 0
        searches, reservations = self._rates
        total = searches + reservations
        while not self._stopping.wait(self._random.expovariate(total)):
            count += 1
            name = f"{self._seed}-{count}"
            if self._random.random() < searches / total:
                self._pool.submit(self._search, name)
                continue
            self._pool.submit(self._reserve, name)
            if count % _DUPLICATE_EVERY == 0:
                # Simulates a caller that retries with the same key through
                # another VM without waiting for the first answer.
                self._pool.submit(self._reserve, name)

    def _search(self, name: str) -> None:
        self._send("search", f"text-{name}", "")

    def _reserve(self, name: str) -> None:
        for _ in range(_ATTEMPTS_MAX):
            record = self._send("reserve", f"gown-{name}", f"key-{name}")
            if record.status == 200:
                return
            time.sleep(0.3)

    def _send(self, service: str, text: str, key: str) -> RequestRecord:
        record = RequestRecord(
            service=service,
            text=text,
            key=key,
            node=self._balancer.choose(),
            sent_at=time.monotonic(),
        )
        body = {"text": text, "route": text}
        try:
            answer = self._rig.request(
                service, body, node=record.node, key=key, timeout=_TIMEOUT_S
            )
            record.status = answer.status
            record.response = answer.row()
        except (OSError, http.client.HTTPException):
            record.status = 0
        record.duration_s = time.monotonic() - record.sent_at
        with self._lock:
            self.requests.append(record)
        return record
