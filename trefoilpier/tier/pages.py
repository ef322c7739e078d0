"""Server of the pages for the balancer and for operators."""

from collections.abc import Callable

from trefoilpier import http1


class PageHandler(http1.RequestHandler):
    """Handler that serves fixed paths."""

    __slots__ = ("_page_by_path",)

    def __init__(
        self,
        *,
        page_by_path: dict[
            bytes, Callable[[http1.HttpRequest], http1.HttpResponse]
        ],
    ) -> None:
        self._page_by_path = page_by_path

    def handle(self, exchange: http1.Exchange) -> None:
        """Respond with the page at the path, or with status 404."""
        path = exchange.request.target.partition(b"?")[0]
        page = self._page_by_path.get(path)
        if page is None:
            exchange.respond(http1.HttpResponse(status=404))
            return
        exchange.respond(page(exchange.request))

    def rejected(self, status: int, reason: str) -> None:
        """Ignore a malformed request; no caller's request depends on it."""
