"""Messages about shared limits over the second peer port."""

from collections.abc import Callable
from typing import Any

from trefoilpier import base, http1, shares
from trefoilpier.fleet import directory

SHARES_PATH = b"/shares"
_JSON_HEADERS = [(b"content-type", b"application/json")]
_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_STATUS_NOT_FOUND = 404


class HttpShareTransport(shares.ShareTransport):
    """Sends messages as requests with method POST."""

    __slots__ = ("_client_by_address", "_clock", "_find_record", "_reactor")

    def __init__(
        self,
        *,
        clock: base.Clock,
        reactor: Any,
        find_record: Callable[[str], directory.VmRecord | None],
    ) -> None:
        """Create a transport without connections.

        Args:
            clock: Source of time and timers.
            reactor: Reactor that opens connections.
            find_record: Returns the record of a VM by its name.
        """
        self._clock = clock
        self._reactor = reactor
        self._find_record = find_record
        self._client_by_address: dict[tuple[str, int], http1.HttpClient] = {}

    def send(
        self,
        vm_id: str,
        body: bytes,
        on_outcome: Callable[[bytes | shares.SendFailure], None],
    ) -> None:
        """Send a message to a VM."""
        record = self._find_record(vm_id)
        if record is None:
            self._clock.call_later(0.0, on_outcome, shares.SendFailure.LOST)
            return
        client = self._client_for(record)
        client.send_request(
            b"POST",
            SHARES_PATH,
            headers=list(_JSON_HEADERS),
            body=body,
            timeout_s=shares.ANSWER_TIMEOUT_S,
        ).addCallback(lambda outcome: on_outcome(_read_outcome(outcome)))

    def _client_for(self, record: directory.VmRecord) -> http1.HttpClient:
        address = (record.host, record.state_port)
        client = self._client_by_address.get(address)
        if client is None:
            client = http1.HttpClient(
                reactor=self._reactor,
                clock=self._clock,
                host=record.host,
                port=record.state_port,
            )
            self._client_by_address[address] = client
        return client

    def keep_only(self, records: list[directory.VmRecord]) -> None:
        """Close the connections to VMs that have left."""
        kept = {(record.host, record.state_port) for record in records}
        for address in set(self._client_by_address).difference(kept):
            self._client_by_address.pop(address).close()


def _read_outcome(
    outcome: http1.ResponseReceived | http1.RequestFailed,
) -> bytes | shares.SendFailure:
    if isinstance(outcome, http1.RequestFailed):
        return shares.SendFailure.LOST
    response = outcome.response
    if response.status == _STATUS_OK:
        return response.body
    if response.status == _STATUS_NOT_FOUND:
        return shares.SendFailure.UNSUPPORTED
    if response.status == _STATUS_BAD_REQUEST:
        return shares.SendFailure.REJECTED
    return shares.SendFailure.LOST


class ShareHandler(http1.RequestHandler):
    """Handler of the other VMs' messages."""

    __slots__ = ("_log", "_malformed_reported", "_service")

    def __init__(
        self, *, log: base.EventLog, service: shares.ShareService
    ) -> None:
        self._log = log
        self._service = service
        self._malformed_reported = False

    def handle(self, exchange: http1.Exchange) -> None:
        """Answer a message; a malformed one with status 400."""
        decoded = shares.decode_request(exchange.request.body)
        if decoded.is_error():
            self._report_malformed(exchange, decoded.error)
            exchange.respond(http1.HttpResponse(status=_STATUS_BAD_REQUEST))
            return
        self._service.handle(
            decoded.ok,
            lambda answer: exchange.respond(
                http1.HttpResponse(
                    status=_STATUS_OK,
                    headers=list(_JSON_HEADERS),
                    body=shares.encode_answer(answer),
                )
            ),
        )

    def _report_malformed(self, exchange: http1.Exchange, reason: str) -> None:
        """Log the first malformed message of this process's life."""
        if self._malformed_reported:
            return
        self._malformed_reported = True
        self._log.emit(
            base.Event.PEER_REJECTED,
            peer="",
            reason=f"malformed message about limits: {reason}",
        )

    def rejected(self, status: int, reason: str) -> None:
        """Ignore a malformed request; no caller's request depends on it."""
