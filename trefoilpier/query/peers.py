"""Requests to peers that wait for one reply each."""

from collections.abc import Callable

from trefoilpier import base, board, peer


class PeerRequests:
    """Sends messages to nodes by id and matches replies by request id.

    A reply is matched by an id that this process never used before, so that
    one that is late, doubled or meant for an earlier process is dropped.
    """

    __slots__ = (
        "_board",
        "_clock",
        "_control",
        "_count",
        "_incarnation",
        "_network",
        "_waiting_by_id",
    )

    def __init__(
        self,
        *,
        blackboard: board.Board,
        clock: base.Clock,
        network: peer.PeerNetwork,
        incarnation: int,
    ) -> None:
        self._board = blackboard
        self._clock = clock
        self._network = network
        self._control = peer.ControlBudget(clock=clock)
        self._incarnation = incarnation
        self._count = 0
        self._waiting_by_id: dict[
            str, tuple[str, Callable[[peer.Message | None], None], base.Timer]
        ] = {}

    def next_id(self) -> str:
        """Returns an id that no process of this node ever used."""
        self._count += 1
        node_id = self._board.nodes.self_id
        return f"{node_id}-{self._incarnation:x}-{self._count:x}"

    def send(self, node_id: str, message: peer.Message) -> bool:
        """Sends a message; returns False if the node cannot be reached.

        A node that is not known yet is answered over the link that it has
        opened itself.
        """
        record = self._board.nodes.node_by_id.get(node_id)
        address = None
        if record is not None:
            address = peer.PeerAddress(host=record.host, port=record.peer_port)
        elif not self._network.has_link(node_id):
            return False

        def send() -> int:
            envelope = self._envelope(message)
            return self._network.send(node_id, address, envelope)

        if peer.is_control(message):
            self._control.submit(message, lambda: self._count_bytes(send()))
        else:
            send()
        return True

    def _count_bytes(self, size: int) -> int:
        """Adds the bytes of a control message to the blackboard's count."""
        self._board.nodes.control_bytes += size
        return size

    def send_datagram(
        self, address: peer.PeerAddress, message: peer.Message
    ) -> None:
        """Sends a datagram; they are all control traffic."""
        self._control.submit(
            message,
            lambda: self._count_bytes(
                self._network.send_datagram(address, self._envelope(message))
            ),
        )

    def ask(
        self,
        node_id: str,
        request_id: str,
        message: peer.Message,
        *,
        timeout: float,
        on_reply: Callable[[peer.Message | None], None],
    ) -> None:
        """Sends a request; ``on_reply`` gets its reply, or None once.

        None stands for a lost link, an unknown node or no reply in time.
        """
        timer = self._clock.call_later(timeout, self._end, request_id, None)
        self._waiting_by_id[request_id] = (node_id, on_reply, timer)
        if not self.send(node_id, message):
            self._clock.call_later(0, self._end, request_id, None)

    def forget(self, request_id: str) -> None:
        """Drops a request; its reply is not wanted any more."""
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is not None:
            waiting[2].cancel()

    def replied(
        self, sender: str, request_id: str, message: peer.Message
    ) -> None:
        """Takes in a reply; one that nobody waits for is dropped."""
        waiting = self._waiting_by_id.get(request_id)
        if waiting is not None and waiting[0] == sender:
            self._end(request_id, message)

    def link_lost(self, node_id: str) -> None:
        """Ends the requests to a node whose link was lost."""
        lost = [
            request_id
            for request_id, waiting in self._waiting_by_id.items()
            if waiting[0] == node_id
        ]
        for request_id in lost:
            self._end(request_id, None)

    def _end(self, request_id: str, message: peer.Message | None) -> None:
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is None:
            return
        _, on_reply, timer = waiting
        timer.cancel()
        on_reply(message)

    def _envelope(self, message: peer.Message) -> peer.Envelope:
        return peer.Envelope(
            sender=self._board.nodes.self_id,
            config_version=self._board.config.version,
            message=message,
        )
