"""Small pages for the balancer and for metrics."""

from collections.abc import Callable

from trefoilpier import http1


class PageHandler(http1.RequestHandler):
    """Answers ``GET`` requests of fixed paths."""

    __slots__ = ("_page_by_path",)

    def __init__(
        self, *, page_by_path: dict[bytes, Callable[[], http1.HttpResponse]]
    ) -> None:
        self._page_by_path = page_by_path

    def handle(self, exchange: http1.Exchange) -> None:
        """Answers at once."""
        path = exchange.request.target.partition(b"?")[0]
        page = self._page_by_path.get(path)
        if page is None:
            exchange.respond(http1.HttpResponse(status=404))
            return
        exchange.respond(page())

    def rejected(self, status: int, reason: str) -> None:
        """Ignores malformed input; nothing of a caller depends on it."""
