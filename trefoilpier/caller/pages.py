"""The resources of the HTTP interface."""

from collections.abc import Callable
from typing import Any

import orjson
from twisted.web import resource, server

from trefoilpier import base, board, query, routing
from trefoilpier.caller import metrics, parse

_DEADLINE_HEADER = "trefoilpier-deadline-ms"
_IDEMPOTENCY_KEY_HEADER = "idempotency-key"
_CALLER_HEADER = "trefoilpier-caller"
_CREDENTIALS_HEADER = b"authorization"
_MAX_CALLER_NAME_LENGTH = 64
_HTTP_OK = 200
_HTTP_SERVICE_UNAVAILABLE = 503


def _write_json(request: server.Request, status: int, body: bytes) -> None:
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", b"%d" % len(body))
    request.write(body)


def _write_outcome(request: server.Request, outcome: query.Outcome) -> None:
    """Write an outcome as JSON with its status and Retry-After header."""
    delay_ms = outcome.retry_after_ms
    if delay_ms is not None:
        delay_s = -(-delay_ms // 1000)
        request.setHeader(b"retry-after", b"%d" % delay_s)
    if outcome.code is base.ResultCode.UNKNOWN_KEY:
        request.setHeader(b"www-authenticate", b"Bearer")
    _write_json(request, outcome.http_status, outcome.to_json())


class _NotFound(resource.Resource):
    """The response to an unknown path or method."""

    isLeaf = True  # noqa: N815

    def render(self, request: server.Request) -> Any:
        rejection = query.Outcome(
            code=base.ResultCode.NO_SUCH_PAGE, detail="no such page"
        )
        _write_outcome(request, rejection)
        request.finish()
        return server.NOT_DONE_YET


class _RequestsResource(resource.Resource):
    """``POST /v1/services/<service>/requests``."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        *,
        service: str,
        runner: query.RequestRunner,
        clock: base.Clock,
        log: base.EventLog,
        is_draining: Callable[[], bool],
    ) -> None:
        super().__init__()
        self._service = service
        self._runner = runner
        self._clock = clock
        self._log = log
        self._is_draining = is_draining

    def render(self, request: server.Request) -> Any:
        if request.method != b"POST" or request.postpath:
            return _NotFound().render(request)
        parsed = parse.parse_request(
            service=self._service,
            body=request.content.read(),
            deadline_header=request.getHeader(_DEADLINE_HEADER),
            key_header=request.getHeader(_IDEMPOTENCY_KEY_HEADER),
            caller=_caller_name(request),
            now=self._clock.monotonic(),
            credentials=request.getHeader(_CREDENTIALS_HEADER),
        )
        if parsed.is_error():
            self._log.emit(
                base.Event.CALLER_REJECTED,
                caller=_caller_name(request),
                code=str(parsed.error.code),
            )
            rejection = query.Outcome.from_failure(
                parsed.error, config_version=0
            )
            _write_outcome(request, rejection)
            request.finish()
            return server.NOT_DONE_YET
        self._run(request, parsed.ok)
        return server.NOT_DONE_YET

    def _run(self, request: server.Request, parsed: query.Request) -> None:
        disconnected = False

        def on_done(outcome: query.Outcome) -> None:
            if disconnected:
                return
            if self._is_draining():
                # Lets the load balancer's next request go to another VM.
                request.setHeader(b"connection", b"close")
            _write_outcome(request, outcome)
            request.finish()

        cancel_run = self._runner.run(parsed, on_done)

        def on_disconnect(reason: Any) -> None:
            nonlocal disconnected
            disconnected = True
            cancel_run()

        request.notifyFinish().addErrback(on_disconnect)


def _caller_name(request: server.Request) -> str:
    """Return the caller's name from the header, or its IP address."""
    name = request.getHeader(_CALLER_HEADER)
    if name and len(name) <= _MAX_CALLER_NAME_LENGTH and name.isprintable():
        return name
    return str(request.getClientAddress().host)


class _ServicesResource(resource.Resource):
    """``/v1/services``, with one child resource per service name."""

    def __init__(self, *, make_child_resource: Callable[[str], Any]) -> None:
        super().__init__()
        self._make_child_resource = make_child_resource

    def getChild(self, path: bytes, request: server.Request) -> Any:  # noqa: N802
        if request.postpath[:1] != [b"requests"]:
            return _NotFound()
        request.prepath.append(request.postpath.pop(0))
        return self._make_child_resource(path.decode("utf-8", "replace"))


class _ReadOnlyResource(resource.Resource):
    """A resource for GET and HEAD whose response is built per request."""

    isLeaf = True  # noqa: N815

    def __init__(
        self, *, write_response: Callable[[server.Request], Any]
    ) -> None:
        super().__init__()
        self._write_response = write_response

    def render(self, request: server.Request) -> Any:
        if request.method not in (b"GET", b"HEAD"):
            return _NotFound().render(request)
        self._write_response(request)
        request.finish()
        return server.NOT_DONE_YET


class _Root(resource.Resource):
    """A parent resource that responds to unknown paths with an error."""

    def getChild(self, path: bytes, request: server.Request) -> Any:  # noqa: N802
        return _NotFound()


def make_root_resource(
    *,
    node_id: str,
    blackboard: board.Board,
    placement: routing.Placement,
    runner: query.RequestRunner,
    clock: base.Clock,
    log: base.EventLog,
    ready: Callable[[], bool],
) -> resource.Resource:
    """Build the tree of HTTP resources.

    Args:
        node_id: ID of this node.
        blackboard: The state of this node, for status and metrics.
        placement: The gatherers of each block, for ``explain``.
        runner: The component that runs requests.
        clock: The clock.
        log: The event log.
        ready: Returns whether the load balancer should send requests here.
    """
    node_metrics = metrics.NodeMetrics(blackboard=blackboard)

    def write_ready(request: server.Request) -> None:
        is_ready = ready()
        body = orjson.dumps({"ready": is_ready, "node": node_id})
        _write_json(
            request, _HTTP_OK if is_ready else _HTTP_SERVICE_UNAVAILABLE, body
        )

    def write_metrics(request: server.Request) -> None:
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        request.write(node_metrics.render())

    def write_status(request: server.Request) -> None:
        row = _build_status(blackboard, clock, ready())
        _write_json(request, _HTTP_OK, orjson.dumps(row))

    def write_explain(request: server.Request) -> None:
        service_name = request.postpath[0] if request.postpath else b""
        row = _build_explanation(
            blackboard, placement, service_name.decode("utf-8", "replace")
        )
        if row is None:
            rejection = query.Outcome(
                code=base.ResultCode.UNKNOWN_SERVICE, detail="no such service"
            )
            _write_outcome(request, rejection)
            return
        _write_json(request, _HTTP_OK, orjson.dumps(row))

    def make_requests_resource(service: str) -> _RequestsResource:
        return _RequestsResource(
            service=service,
            runner=runner,
            clock=clock,
            log=log,
            is_draining=lambda: blackboard.drain.draining,
        )

    root = _Root()
    root.putChild(b"ready", _ReadOnlyResource(write_response=write_ready))
    root.putChild(b"metrics", _ReadOnlyResource(write_response=write_metrics))
    v1 = _Root()
    root.putChild(b"v1", v1)
    v1.putChild(
        b"services",
        _ServicesResource(make_child_resource=make_requests_resource),
    )
    v1.putChild(b"status", _ReadOnlyResource(write_response=write_status))
    v1.putChild(b"explain", _ReadOnlyResource(write_response=write_explain))
    return root


def _build_status(
    blackboard: board.Board, clock: base.Clock, ready: bool
) -> dict[str, Any]:
    """Return the status of this VM as shown by ``trefoilpier status``."""
    config_section = blackboard.config
    count_by_phase = {str(phase): 0 for phase in board.LeafPhase}
    for state in blackboard.leaves.state_by_id.values():
        count_by_phase[str(state.phase)] += 1
    age_s = clock.monotonic() - config_section.in_force_at
    return {
        "node": blackboard.nodes.self_id,
        "ready": ready,
        "draining": blackboard.drain.draining,
        "config_version": config_section.version,
        "config_version_heard": config_section.highest_known_version,
        "config_age_s": round(age_s, 1) if config_section.current else None,
        "leaves": count_by_phase,
        "nodes": {
            record.id: record.state.name.lower()
            for record in blackboard.nodes.node_by_id.values()
        },
        "queries_in_flight": blackboard.queries.in_flight,
        "leaf_calls": blackboard.queries.leaf_calls,
        "leaf_calls_extra": blackboard.queries.leaf_calls_extra,
    }


def _build_explanation(
    blackboard: board.Board, placement: routing.Placement, service_name: str
) -> dict[str, Any] | None:
    """Return how a request would be routed now; None if unknown."""
    config_set = blackboard.config.current
    service = (
        config_set.service_by_name.get(service_name) if config_set else None
    )
    if config_set is None or service is None:
        return None
    group = config_set.shard_group_by_name[service.shard_group]
    policy = config_set.policy_by_name[service.policy]
    return {
        "service": service.name,
        "config_version": config_set.version,
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
                "gatherers": list(
                    placement.gatherers_by_preference(block, group)
                ),
                "leaves": [
                    _build_leaf_explanation(blackboard, leaf_id)
                    for leaf_id in block.leaf_ids
                ],
            }
            for block in group.blocks
        ],
    }


def _build_leaf_explanation(
    blackboard: board.Board, leaf_id: str
) -> dict[str, Any]:
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
