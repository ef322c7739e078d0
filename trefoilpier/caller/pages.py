"""The pages of the HTTP interface."""

from collections.abc import Callable
from typing import Any

import orjson
from twisted.web import resource, server

from trefoilpier import base, board, query, routing
from trefoilpier.caller import metrics, parse

_DEADLINE_HEADER = "trefoilpier-deadline-ms"
_KEY_HEADER = "idempotency-key"
_CALLER_HEADER = "trefoilpier-caller"
_CALLER_MAX = 64
_OK = 200
_NOT_READY = 503


def _write_json(request: server.Request, status: int, body: bytes) -> None:
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", b"%d" % len(body))
    request.write(body)


def _write_outcome(request: server.Request, final: query.Outcome) -> None:
    """Writes an outcome with its status and Retry-After header."""
    milliseconds = final.retry_after_ms
    if milliseconds is not None:
        seconds = -(-milliseconds // 1000)
        request.setHeader(b"retry-after", b"%d" % seconds)
    _write_json(request, final.http_status, final.to_json())


class _NotFound(resource.Resource):
    """Answers an unknown path or method."""

    isLeaf = True  # noqa: N815

    def render(self, request: server.Request) -> Any:
        refused = query.Outcome(
            code=base.ResultCode.NO_SUCH_PAGE, detail="no such page"
        )
        _write_outcome(request, refused)
        request.finish()
        return server.NOT_DONE_YET


class _RequestsPage(resource.Resource):
    """``POST /v1/services/<service>/requests``."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        *,
        service: str,
        runner: query.EntryRunner,
        clock: base.Clock,
        log: base.EventLog,
        draining: Callable[[], bool],
    ) -> None:
        super().__init__()
        self._service = service
        self._runner = runner
        self._clock = clock
        self._log = log
        self._draining = draining

    def render(self, request: server.Request) -> Any:
        if request.method != b"POST" or request.postpath:
            return _NotFound().render(request)
        read = parse.parse_request(
            service=self._service,
            body=request.content.read(),
            deadline_header=request.getHeader(_DEADLINE_HEADER),
            key_header=request.getHeader(_KEY_HEADER),
            caller=_caller(request),
            now=self._clock.monotonic(),
        )
        if read.is_error():
            self._log.emit(
                base.Event.CALLER_REJECTED,
                caller=_caller(request),
                code=str(read.error.code),
            )
            refused = query.Outcome.from_failure(read.error, config_version=0)
            _write_outcome(request, refused)
            request.finish()
            return server.NOT_DONE_YET
        self._run(request, read.ok)
        return server.NOT_DONE_YET

    def _run(self, request: server.Request, read: query.Request) -> None:
        gone = False

        def done(final: query.Outcome) -> None:
            if gone:
                return
            if self._draining():
                # The balancer's next request should go to another VM.
                request.setHeader(b"connection", b"close")
            _write_outcome(request, final)
            request.finish()

        withdraw = self._runner.run(read, done)

        def caller_left(reason: Any) -> None:
            nonlocal gone
            gone = True
            withdraw()

        request.notifyFinish().addErrback(caller_left)


def _caller(request: server.Request) -> str:
    """Returns the caller's name, or its IP number."""
    name = request.getHeader(_CALLER_HEADER)
    if name and len(name) <= _CALLER_MAX and name.isprintable():
        return name
    return str(request.getClientAddress().host)


class _ServicesPage(resource.Resource):
    """``/v1/services``: one child for each service name."""

    def __init__(self, *, make_page: Callable[[str], Any]) -> None:
        super().__init__()
        self._make_page = make_page

    def getChild(self, path: bytes, request: server.Request) -> Any:  # noqa: N802
        if request.postpath[:1] != [b"requests"]:
            return _NotFound()
        request.prepath.append(request.postpath.pop(0))
        return self._make_page(path.decode("utf-8", "replace"))


class _TextPage(resource.Resource):
    """A page whose body is made at each request."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, make: Callable[[server.Request], Any]) -> None:
        super().__init__()
        self._make = make

    def render(self, request: server.Request) -> Any:
        if request.method not in (b"GET", b"HEAD"):
            return _NotFound().render(request)
        self._make(request)
        request.finish()
        return server.NOT_DONE_YET


class _Root(resource.Resource):
    """The root; unknown paths get a numbered code."""

    def getChild(self, path: bytes, request: server.Request) -> Any:  # noqa: N802
        return _NotFound()


def make_root(
    *,
    node_id: str,
    blackboard: board.Board,
    placement: routing.Placement,
    runner: query.EntryRunner,
    clock: base.Clock,
    log: base.EventLog,
    ready: Callable[[], bool],
) -> resource.Resource:
    """Builds the tree of pages.

    Args:
        node_id: This node.
        blackboard: The blackboard, for status and metrics.
        placement: Who gathers what, for ``explain``.
        runner: Runs requests.
        clock: The clock.
        log: Where events go.
        ready: Whether the balancer should send requests here.
    """
    node_metrics = metrics.NodeMetrics(blackboard=blackboard)

    def write_ready(request: server.Request) -> None:
        good = ready()
        body = orjson.dumps({"ready": good, "node": node_id})
        _write_json(request, _OK if good else _NOT_READY, body)

    def write_metrics(request: server.Request) -> None:
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        request.write(node_metrics.render())

    def write_status(request: server.Request) -> None:
        row = _status(blackboard, clock, ready())
        _write_json(request, _OK, orjson.dumps(row))

    def write_explain(request: server.Request) -> None:
        name = request.postpath[0] if request.postpath else b""
        row = _explain(blackboard, placement, name.decode("utf-8", "replace"))
        if row is None:
            refused = query.Outcome(
                code=base.ResultCode.UNKNOWN_SERVICE, detail="no such service"
            )
            _write_outcome(request, refused)
            return
        _write_json(request, _OK, orjson.dumps(row))

    def make_requests_page(service: str) -> _RequestsPage:
        return _RequestsPage(
            service=service,
            runner=runner,
            clock=clock,
            log=log,
            draining=lambda: blackboard.drain.draining,
        )

    root = _Root()
    root.putChild(b"ready", _TextPage(make=write_ready))
    root.putChild(b"metrics", _TextPage(make=write_metrics))
    first = _Root()
    root.putChild(b"v1", first)
    first.putChild(b"services", _ServicesPage(make_page=make_requests_page))
    first.putChild(b"status", _TextPage(make=write_status))
    first.putChild(b"explain", _TextPage(make=write_explain))
    return root


def _status(
    blackboard: board.Board, clock: base.Clock, ready: bool
) -> dict[str, Any]:
    """Returns what ``trefoilpier status`` shows of this VM."""
    section = blackboard.config
    count_by_phase = {str(phase): 0 for phase in board.LeafPhase}
    for state in blackboard.leaves.state_by_id.values():
        count_by_phase[str(state.phase)] += 1
    age = clock.monotonic() - section.in_force_at
    return {
        "node": blackboard.nodes.self_id,
        "ready": ready,
        "draining": blackboard.drain.draining,
        "config_version": section.version,
        "config_version_heard": section.heard_version,
        "config_age_s": round(age, 1) if section.current else None,
        "leaves": count_by_phase,
        "nodes": {
            record.id: record.state.name.lower()
            for record in blackboard.nodes.node_by_id.values()
        },
        "queries_in_flight": blackboard.queries.in_flight,
        "leaf_calls": blackboard.queries.leaf_calls,
        "leaf_calls_extra": blackboard.queries.leaf_calls_extra,
    }


def _explain(
    blackboard: board.Board, placement: routing.Placement, name: str
) -> dict[str, Any] | None:
    """Returns how a request would be routed now."""
    current = blackboard.config.current
    service = current.service_by_name.get(name) if current else None
    if current is None or service is None:
        return None
    group = current.shard_group_by_name[service.shard_group]
    policy = current.policy_by_name[service.policy]
    return {
        "service": service.name,
        "config_version": current.version,
        "shard_group": group.name,
        "epoch": group.epoch,
        "policy": policy.name,
        "mode": str(policy.mode),
        "repeatable": service.repeatable,
        "shards": group.shard_count,
        "blocks": [
            {
                "block": block.id,
                "shards": list(block.shards),
                "gatherers": list(placement.preferred(block, group)),
                "leaves": [
                    _explain_leaf(blackboard, leaf_id)
                    for leaf_id in block.leaf_ids
                ],
            }
            for block in group.blocks
        ],
    }


def _explain_leaf(blackboard: board.Board, leaf_id: str) -> dict[str, Any]:
    state = blackboard.leaves.state_by_id.get(leaf_id)
    if state is None:
        return {"leaf": leaf_id, "phase": "not held"}
    return {
        "leaf": leaf_id,
        "phase": str(state.phase),
        "versions": list(state.versions),
        "mean_ms": round(state.latency.mean * 1000, 2),
        "quantile_ms": round(state.latency.quantile * 1000, 2),
        "in_flight": state.in_flight,
        "queued": state.queued,
        "limit": round(state.limit, 2),
    }
