"""What the tier needs of the protocol that callers and leafs speak."""

import abc
from dataclasses import dataclass

from trefoilpier import http1, replicas


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerAsk:
    """What a caller says beside its request.

    Attributes:
        id: The caller's id of this attempt; empty if it gives none.
        wait_s: How long it will wait; None if it does not say.
    """

    id: bytes
    wait_s: float | None


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafAnswer:
    """A leaf's response, read once.

    Attributes:
        response: The response as received.
        seal: The leaf's signature of this response, if it bears one.
        not_run: Whether the leaf states that it did not run the request.
        wrong_leaf: Whether another leaf has the address.
        failed: Whether another leaf may do better.
        load: The leaf's load, if it reports one.
    """

    response: http1.HttpResponse
    seal: bytes | None
    not_run: bool
    wrong_leaf: bool
    failed: bool
    load: replicas.LeafLoad | None

    @property
    def good(self) -> bool:
        """Whether it is a whole success of the leaf."""
        return 200 <= self.response.status < 300 and self.seal is not None


class LeafWire(abc.ABC):
    """Reads and writes the headers of callers and leafs."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def id_header(self) -> bytes:
        """Header in which a leaf echoes the request's id."""

    @abc.abstractmethod
    def read_ask(self, request: http1.HttpRequest) -> CallerAsk:
        """Reads a caller's headers."""

    @abc.abstractmethod
    def forwarded(self, request: http1.HttpRequest) -> http1.Headers:
        """Returns the headers to forward, without those that the tier sets."""

    @abc.abstractmethod
    def encode(
        self,
        request: http1.HttpRequest,
        headers: http1.Headers,
        *,
        leaf_id: str,
        wait_s: float,
    ) -> bytes:
        """Encodes the request to one leaf."""

    @abc.abstractmethod
    def read_answer(self, response: http1.HttpResponse) -> LeafAnswer:
        """Reads a leaf's response."""

    @abc.abstractmethod
    def relay(self, answer: LeafAnswer) -> http1.HttpResponse:
        """Returns a leaf's response as the caller gets it."""

    @abc.abstractmethod
    def gathered(
        self, *, seals: list[bytes], missing: int, body: bytes
    ) -> http1.HttpResponse:
        """Returns the answer made of several parts."""
