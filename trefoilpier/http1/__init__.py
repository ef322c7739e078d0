"""HTTP/1.1 messages, client connections and the server for callers."""

from trefoilpier.http1.asker import Asker
from trefoilpier.http1.client import (
    ClientConnection,
    ConnectionEvents,
    Exchanged,
    Lost,
)
from trefoilpier.http1.message import (
    Headers,
    HttpRequest,
    HttpResponse,
    encode_request,
    encode_response,
    end_to_end,
    find_header,
)
from trefoilpier.http1.server import (
    CallerLimits,
    Exchange,
    RequestHandler,
    ServerFactory,
)

__all__ = [
    "Asker",
    "CallerLimits",
    "ClientConnection",
    "ConnectionEvents",
    "Exchange",
    "Exchanged",
    "Headers",
    "HttpRequest",
    "HttpResponse",
    "Lost",
    "RequestHandler",
    "ServerFactory",
    "encode_request",
    "encode_response",
    "end_to_end",
    "find_header",
]
