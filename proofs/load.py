"""Open-loop load of searches and reservations, with every answer kept."""

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
_KEY_TRIES = 3
_IMPATIENT = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """One request and what came of it.

    Attributes:
        service: The service.
        text: Text of the search, unique to the request.
        key: Idempotency key, or empty.
        node: Index of the entry VM.
        sent_at: Monotonic instant of the send.
        took: Seconds until the answer or the loss.
        status: HTTP status; 0 when the connection was lost.
        row: The decoded answer.
    """

    service: str
    text: str
    key: str
    node: int
    sent_at: float
    took: float = 0.0
    status: int = 0
    row: dict[str, Any] = dataclasses.field(default_factory=dict)


class ProofLoad:
    """Sends at random times through a balancer until it is stopped.

    A reservation whose answer is lost or not final is asked again with its
    key through another VM, as a caller would.
    """

    def __init__(
        self,
        *,
        target: rig.Rig,
        through: balancer.Balancer,
        seed: int,
        searches: float = 30.0,
        reservations: float = 8.0,
    ) -> None:
        self._rig = target
        self._balancer = through
        self._random = random.Random(seed)
        self._rates = (searches, reservations)
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(_WORKERS)
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._seed = seed
        self.rows: list[Sent] = []

    def start(self) -> None:
        """Begins to send."""
        self._thread.start()

    def stop(self) -> None:
        """Ends sending and waits for every answer."""
        self._ended.set()
        self._thread.join()
        self._pool.shutdown(wait=True)

    def _run(self) -> None:
        count = 0
        searches, reservations = self._rates
        total = searches + reservations
        while not self._ended.wait(self._random.expovariate(total)):
            count += 1
            name = f"{self._seed}-{count}"
            if self._random.random() < searches / total:
                self._pool.submit(self._search, name)
                continue
            self._pool.submit(self._reserve, name)
            if count % _IMPATIENT == 0:
                # A caller that does not wait: the key again, elsewhere.
                self._pool.submit(self._reserve, name)

    def _search(self, name: str) -> None:
        self._send("search", f"text-{name}", "")

    def _reserve(self, name: str) -> None:
        for _ in range(_KEY_TRIES):
            sent = self._send("reserve", f"gown-{name}", f"key-{name}")
            if sent.status == 200:
                return
            time.sleep(0.3)

    def _send(self, service: str, text: str, key: str) -> Sent:
        sent = Sent(
            service=service,
            text=text,
            key=key,
            node=self._balancer.choose(),
            sent_at=time.monotonic(),
        )
        body = {"text": text, "route": text}
        try:
            answer = self._rig.request(
                service, body, node=sent.node, key=key, timeout=_TIMEOUT_S
            )
            sent.status = answer.status
            sent.row = answer.row()
        except (OSError, http.client.HTTPException):
            sent.status = 0
        sent.took = time.monotonic() - sent.sent_at
        with self._lock:
            self.rows.append(sent)
        return sent
