"""Takes callers' requests through their whole life."""

from trefoilpier import base, http1, replicas, routes
from trefoilpier.forward import (
    admission,
    budget,
    gather_run,
    histogram,
    lane,
    latency,
    responses,
    service_call,
    single_run,
    split,
    straggler,
)
from trefoilpier.forward import wire as wires

# A VM that has just started has its routes within about this time.
_START_RETRY_S = 0.1


class ForwardEngine(http1.RequestHandler):
    """The controller of all requests of one VM.

    Attributes:
        clock: The clock.
        registry: The leafs.
        chooser: Chooses between them.
        wire: Reads and writes headers.
        in_flight: Requests that have no response yet.
        draining: Whether the VM is shutting down.
        vm_count: VMs that share each service's allowance.
        histogram: Latencies of all ended requests.
        sends: Requests sent to leafs.
        sends_extra: Second sends among them.
        count_by_outcome: Responses so far, by result code.
    """

    __slots__ = (
        "_budget_by_service",
        "_budget_terms",
        "_lane_by_service",
        "_log",
        "_split_by_route",
        "_table",
        "_usual_by_route",
        "chooser",
        "clock",
        "count_by_outcome",
        "draining",
        "histogram",
        "in_flight",
        "registry",
        "sends",
        "sends_extra",
        "vm_count",
        "wire",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        wire: wires.LeafWire,
        chooser: replicas.LeafChooser,
        budget_terms: budget.BudgetTerms,
    ) -> None:
        self.clock = clock
        self.wire = wire
        self.chooser = chooser
        self.registry: replicas.LeafRegistry
        self._table: routes.RouteTable | None = None
        self.draining = False
        self.in_flight = 0
        self.vm_count = budget.VMS_ASSUMED
        self.count_by_outcome: dict[base.ResultCode, int] = {}
        self.histogram = histogram.LatencyHistogram()
        self.sends = 0
        self.sends_extra = 0
        self._log = log
        self._budget_terms = budget_terms
        self._budget_by_service: dict[str, budget.ExtraBudget] = {}
        self._lane_by_service: dict[str, lane.ServiceLane] = {}
        self._usual_by_route: dict[str, latency.UsualLatency] = {}
        self._split_by_route: dict[str, split.WeightedSplit] = {}

    @property
    def table(self) -> routes.RouteTable | None:
        """The routes in force, or None before the first version."""
        return self._table

    @table.setter
    def table(self, table: routes.RouteTable | None) -> None:
        before, self._table = self._table, table
        if before is not None and table is not None:
            self._forget_unnamed(before, table)

    def _forget_unnamed(
        self, before: routes.RouteTable, table: routes.RouteTable
    ) -> None:
        """Drops what is kept of services and routes that are gone.

        Those of the version before stay for requests that are in flight.
        """
        services = before.used_services | table.used_services
        names = {route.name for route in (*before.routes, *table.routes)}
        for by_service in (self._budget_by_service, self._lane_by_service):
            for service in set(by_service) - services:
                del by_service[service]
        for by_route in (self._usual_by_route, self._split_by_route):
            for name in set(by_route) - names:
                del by_route[name]

    def budget(self, service: str) -> budget.ExtraBudget:
        """Returns a service's budget of extra sends."""
        known = self._budget_by_service.get(service)
        if known is None:
            known = self._budget_terms.make(self.clock, self.vm_count)
            self._budget_by_service[service] = known
        return known

    def set_vm_count(self, count: int) -> None:
        """Takes the number of VMs that share each service's allowance."""
        self.vm_count = max(1, count)
        for known in self._budget_by_service.values():
            known.allowance = self._budget_terms.allowance / self.vm_count

    def lane(self, service: str) -> lane.ServiceLane:
        """Returns the waiting calls of a service."""
        known = self._lane_by_service.get(service)
        if known is None:
            known = lane.ServiceLane(clock=self.clock)
            self._lane_by_service[service] = known
        return known

    def usual(self, route: routes.Route) -> latency.UsualLatency:
        """Returns the usual latency of a route's calls."""
        known = self._usual_by_route.get(route.name)
        if known is None:
            known = latency.UsualLatency(objective_s=route.objective_s)
            self._usual_by_route[route.name] = known
        return known

    def room(self, pool: replicas.LeafPool) -> None:
        """Resumes calls that waited for room at a leaf."""
        waiting = self._lane_by_service.get(pool.entry.service)
        if waiting is not None:
            waiting.resume()

    def note_lost(
        self, spec: service_call.CallSpec, leaf_id: str, reason: str
    ) -> None:
        """Logs a leaf call without an answer."""
        self._log.emit(
            base.Event.LEAF_CALL_LOST,
            request=spec.ask.id.decode("latin-1"),
            leaf=leaf_id,
            reason=reason,
        )

    def rejected(self, status: int, reason: str) -> None:
        """Logs input that is no proper request."""
        self._log.emit(base.Event.CALLER_REJECTED, status=status, reason=reason)

    def handle(self, exchange: http1.Exchange) -> None:
        """Serves a request."""
        request = exchange.request
        ask = self.wire.read_ask(request)
        table = self.table
        if table is None:
            self._refuse(
                exchange,
                ask,
                base.ResultCode.NO_CONFIGURATION,
                _START_RETRY_S,
            )
            return
        host = http1.find_header(request.headers, b"host") or b""
        path = request.target.partition(b"?")[0]
        route = table.match(host.partition(b":")[0], path)
        if route is None:
            self._end(
                exchange,
                ask,
                base.ResultCode.NO_ROUTE,
                http1.HttpResponse(status=404),
                {"host": host.decode("latin-1")},
            )
            return
        self._run(exchange, ask, route)

    def _run(
        self,
        exchange: http1.Exchange,
        ask: wires.CallerAsk,
        route: routes.Route,
    ) -> None:
        wait_s = route.timeout_s if ask.wait_s is None else ask.wait_s
        wait_s = min(wait_s, route.timeout_s)
        spec = service_call.CallSpec(
            request=exchange.request,
            headers=self.wire.forwarded(exchange.request),
            ask=ask,
            route=route,
            deadline=exchange.received_at + wait_s,
            due=straggler.cut_at(
                received_at=exchange.received_at,
                waited_s=max(0.0, route.timeout_s - wait_s),
                network_s=exchange.request.network_s,
                objective_s=route.objective_s,
            ),
        )
        services = self._targets(route)
        verdict = admission.admit(self._admission_view(route, services, wait_s))
        if verdict is not None:
            self._refuse(exchange, ask, verdict.code, verdict.retry_after_s)
            return
        self.in_flight += 1
        if route.gather is not None:
            gather_run.GatherRun(
                engine=self, exchange=exchange, spec=spec
            ).start()
        else:
            single_run.SingleRun(
                engine=self, exchange=exchange, spec=spec, service=services[0]
            ).start()

    def _targets(self, route: routes.Route) -> tuple[str, ...]:
        if route.gather is not None:
            return route.gather.services
        if len(route.targets) == 1:
            return (route.targets[0].name,)
        known = self._split_by_route.get(route.name)
        if known is None or known.targets != route.targets:
            known = split.WeightedSplit(targets=route.targets)
            self._split_by_route[route.name] = known
        return (known.next(),)

    def _admission_view(
        self, route: routes.Route, services: tuple[str, ...], wait_s: float
    ) -> admission.AdmissionView:
        now = self.clock.monotonic()
        usual_s = self.usual(route).median_s
        return admission.AdmissionView(
            services=tuple(
                self._service_view(service, usual_s, now)
                for service in services
            ),
            coverage_least=(
                route.gather.coverage_least if route.gather else 1.0
            ),
            wait_s=wait_s,
        )

    def _service_view(
        self, service: str, usual_s: float, now: float
    ) -> admission.ServiceView:
        pools = self.registry.pools_by_service.get(service, ())
        costs = [
            pool.stats.expected_cost(now)
            for pool in pools
            if not pool.stats.is_ejected(now)
        ]
        waiting = self._lane_by_service.get(service)
        wait_s = waiting.expected_wait_s if waiting is not None else 0.0
        best = min(costs, default=0.0)
        return admission.ServiceView(
            usable=bool(costs), expected_s=wait_s + best * usual_s
        )

    def _refuse(
        self,
        exchange: http1.Exchange,
        ask: wires.CallerAsk,
        code: base.ResultCode,
        retry_after_s: float,
    ) -> None:
        self._end(
            exchange,
            ask,
            code,
            responses.refused(retry_after_s),
            {"retry_after_s": retry_after_s},
        )

    def finish(
        self,
        exchange: http1.Exchange,
        spec: service_call.CallSpec,
        code: base.ResultCode,
        response: http1.HttpResponse,
        fields: dict,
    ) -> None:
        """Writes the one response to an admitted request and logs it."""
        self.in_flight -= 1
        assert self.table is not None
        fields["route"] = spec.route.name
        fields["left_ms"] = round(
            (spec.deadline - self.clock.monotonic()) * 1000
        )
        self._end(exchange, spec.ask, code, response, fields)

    def _end(
        self,
        exchange: http1.Exchange,
        ask: wires.CallerAsk,
        code: base.ResultCode,
        response: http1.HttpResponse,
        fields: dict,
    ) -> None:
        self.count_by_outcome[code] = self.count_by_outcome.get(code, 0) + 1
        took = self.clock.monotonic() - exchange.received_at
        self.histogram.add(took)
        self._log.emit(
            base.Event.REQUEST_ENDED,
            request=ask.id.decode("latin-1"),
            code=str(code),
            status=response.status,
            took_ms=round(took * 1000, 1),
            config=self.table.version if self.table else 0,
            **fields,
        )
        exchange.respond(response)

    def caller_left(
        self, spec: service_call.CallSpec, received_at: float
    ) -> None:
        """Logs a caller that left before its response."""
        self.in_flight -= 1
        took = self.clock.monotonic() - received_at
        self._log.emit(
            base.Event.CALLER_LEFT,
            request=spec.ask.id.decode("latin-1"),
            route=spec.route.name,
            took_ms=round(took * 1000, 1),
        )
