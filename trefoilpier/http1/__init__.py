"""HTTP/1.1 messages, client connections and the server for callers."""

from trefoilpier.http1.body_buffer import BodyBuffer
from trefoilpier.http1.buffer_budget import BufferBudget
from trefoilpier.http1.client_connection import (
    ClientConnection,
    ConnectionEvents,
    RequestFailed,
    ResponseReceived,
)
from trefoilpier.http1.http_client import HttpClient
from trefoilpier.http1.message import (
    Headers,
    HttpRequest,
    HttpResponse,
    RequestTemplate,
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
    "BodyBuffer",
    "BufferBudget",
    "HttpClient",
    "CallerLimits",
    "ClientConnection",
    "ConnectionEvents",
    "Exchange",
    "ResponseReceived",
    "Headers",
    "HttpRequest",
    "HttpResponse",
    "RequestFailed",
    "RequestHandler",
    "RequestTemplate",
    "ServerFactory",
    "encode_request",
    "encode_response",
    "end_to_end",
    "find_header",
]
