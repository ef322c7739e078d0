"""Requests to peers and the matching of their replies."""

from collections.abc import Callable

from trefoilpier import base, board, peer


class PeerClient:
    """Client that sends messages to nodes and matches replies to requests.

    Request ids are never reused, not even after a restart, so a reply that
    is late, duplicated or meant for an earlier process is dropped.
    """

    __slots__ = (
        "_board",
        "_clock",
        "_control_budget",
        "_id_count",
        "_incarnation",
        "_network",
        "_pending_by_id",
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
        self._control_budget = peer.ControlBudget(clock=clock)
        self._incarnation = incarnation
        self._id_count = 0
        self._pending_by_id: dict[
            str, tuple[str, Callable[[peer.Message | None], None], base.Timer]
        ] = {}

    def next_id(self) -> str:
        """Return a request id that no process of this node has used before."""
        self._id_count += 1
        node_id = self._board.nodes.self_id
        return f"{node_id}-{self._incarnation:x}-{self._id_count:x}"

    def send(self, node_id: str, message: peer.Message) -> bool:
        """Send a message; return False if there is no way to reach the node.

        A node without a membership record is reached over the connection
        that it has opened to this node.
        """
        record = self._board.nodes.node_by_id.get(node_id)
        address = None
        if record is not None:
            address = peer.PeerAddress(host=record.host, port=record.peer_port)
        elif not self._network.has_link(node_id):
            return False

        def send() -> int:
            envelope = self._make_envelope(message)
            return self._network.send(node_id, address, envelope)

        if peer.is_control(message):
            self._control_budget.submit(
                message, lambda: self._count_control_bytes(send())
            )
        else:
            send()
        return True

    def _count_control_bytes(self, size: int) -> int:
        """Add the size of a control message to the counter and return it."""
        self._board.nodes.control_bytes += size
        return size

    def send_datagram(
        self, address: peer.PeerAddress, message: peer.Message
    ) -> None:
        """Send a datagram; all datagrams are control traffic."""
        self._control_budget.submit(
            message,
            lambda: self._count_control_bytes(
                self._network.send_datagram(
                    address, self._make_envelope(message)
                )
            ),
        )

    def send_request(
        self,
        node_id: str,
        request_id: str,
        message: peer.Message,
        *,
        timeout: float,
        on_reply: Callable[[peer.Message | None], None],
    ) -> None:
        """Send a request.

        Args:
            node_id: The node to send to.
            request_id: The id that the reply carries.
            message: The request.
            timeout: Seconds to wait for the reply.
            on_reply: Called at most once with the reply, or with None if
                the connection is lost, the node cannot be reached or the
                timeout expires. Not called after `abandon`.
        """
        timer = self._clock.call_later(
            timeout, self._complete, request_id, None
        )
        self._pending_by_id[request_id] = (node_id, on_reply, timer)
        if not self.send(node_id, message):
            self._clock.call_later(0, self._complete, request_id, None)

    def abandon(self, request_id: str) -> None:
        """Stop waiting for the reply to a request."""
        pending = self._pending_by_id.pop(request_id, None)
        if pending is not None:
            pending[2].cancel()

    def handle_reply(
        self, sender: str, request_id: str, message: peer.Message
    ) -> None:
        """Handle a reply; drop it if no request is waiting for it."""
        pending = self._pending_by_id.get(request_id)
        if pending is not None and pending[0] == sender:
            self._complete(request_id, message)

    def handle_link_lost(self, node_id: str) -> None:
        """Fail the pending requests to a node whose connection was lost."""
        lost_ids = [
            request_id
            for request_id, pending in self._pending_by_id.items()
            if pending[0] == node_id
        ]
        for request_id in lost_ids:
            self._complete(request_id, None)

    def _complete(self, request_id: str, message: peer.Message | None) -> None:
        pending = self._pending_by_id.pop(request_id, None)
        if pending is None:
            return
        _, on_reply, timer = pending
        timer.cancel()
        on_reply(message)

    def _make_envelope(self, message: peer.Message) -> peer.Envelope:
        return peer.Envelope(
            sender=self._board.nodes.self_id,
            config_version=self._board.config.version,
            message=message,
        )
