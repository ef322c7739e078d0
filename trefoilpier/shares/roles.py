"""Interfaces between the parts of a VM that take part in the exchange."""

import abc
from collections.abc import Callable

from trefoilpier.shares import messages
from trefoilpier.shares import peer as peers


class AskSource(abc.ABC):
    """The limits in use on this VM, for which tokens are asked."""

    __slots__ = ()

    @abc.abstractmethod
    def make_asks(
        self, peer: peers.Peer, now: float
    ) -> tuple[messages.Ask, ...]:
        """Return what to ask a VM for."""

    @abc.abstractmethod
    def apply_grants(
        self,
        peer: peers.Peer,
        asks: tuple[messages.Ask, ...],
        grants: tuple[messages.Grant | None, ...],
        sent_at: float,
    ) -> None:
        """Use an answer, which is empty if there was none."""


class Answerer(abc.ABC):
    """Answers messages, those that this VM sends to itself included."""

    __slots__ = ()

    @abc.abstractmethod
    def handle(
        self,
        request: messages.ShareRequest,
        respond: Callable[[messages.ShareAnswer], None],
    ) -> None:
        """Answer a message, now or a few milliseconds later."""

    @abc.abstractmethod
    def handle_votes(self) -> None:
        """Go on with answers that wait for votes."""
