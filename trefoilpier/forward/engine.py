"""Admission, routing and completion of callers' requests."""

from collections.abc import Callable

from trefoilpier import (
    accounts,
    base,
    http1,
    quarantine,
    replicas,
    routes,
)
from trefoilpier.forward import (
    account_access,
    admission,
    budget,
    decision_wait,
    environment,
    gather_policy,
    gather_run,
    histogram,
    latency,
    policy,
    quota,
    quota_wait,
    request_admission,
    request_context,
    response_size,
    responses,
    shared_states,
    single_run,
    stopping,
    wait_queue,
)
from trefoilpier.forward import wire as wires

# Precision of the wait for the first routes.
_ROUTES_CHECK_PAUSE_S = 0.01
# Of a caller that states no deadline, while its route is unknown.
_TIME_LEFT_DEFAULT_S = 1.0


class ForwardEngine(environment.ForwardEnvironment, http1.RequestHandler):
    """Request forwarding of one VM.

    Attributes:
        account_usage: What became of the requests of each client account.
        accounts_confirmed: Returns whether the accounts are known to be
            current.
        in_flight: Admitted requests without a response.
        quota_gate: Admission by the quotas of accounts; None for no quotas.
        route_read_failed: Returns whether the last attempt to read the routes
            failed.
        histogram: Latencies of all completed requests.
        sends: Requests sent to leaves.
        sends_extra: Requests among them that were retries or hedges.
        count_by_outcome: Responses sent, by result code.
    """

    __slots__ = (
        "_admission",
        "_log",
        "_response_sizes",
        "_states",
        "_table",
        "account_usage",
        "accounts_confirmed",
        "count_by_outcome",
        "histogram",
        "in_flight",
        "quota_gate",
        "route_read_failed",
        "sends",
        "sends_extra",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        wire: wires.LeafWire,
        chooser: replicas.LeafChooser,
        budget_limits: budget.RetryBudgetLimits,
        forward_policy: policy.ForwardPolicy | None = None,
        gate: quarantine.QuarantineGate | None = None,
    ) -> None:
        self.clock = clock
        self.gate = gate
        self.policy = forward_policy or policy.ForwardPolicy()
        self.wire = wire
        self.chooser = chooser
        self._table: routes.RouteTable | None = None
        self.in_flight = 0
        self.count_by_outcome: dict[base.ResultCode, int] = {}
        self.histogram = histogram.LatencyHistogram()
        self.sends = 0
        self.sends_extra = 0
        self._log = log
        self._states = shared_states.SharedStates(
            clock=clock,
            budget_limits=budget_limits,
            by_objective=self.policy.order_by_objective,
        )
        self._admission = request_admission.RequestAdmission(
            env=self, states=self._states
        )
        self._response_sizes = response_size.ResponseSizes()
        self.route_read_failed: Callable[[], bool] = lambda: False
        self.accounts_confirmed: Callable[[], bool] = lambda: True
        self.account_usage = accounts.AccountUsage()
        self.quota_gate: quota.QuotaGate | None = None

    @property
    def table(self) -> routes.RouteTable | None:
        """Active routes, or None before the first version arrives."""
        return self._table

    @table.setter
    def table(self, table: routes.RouteTable | None) -> None:
        previous, self._table = self._table, table
        if previous is not None and table is not None:
            self._states.drop_unused(previous, table)

    def outlasts(self, request: http1.HttpRequest) -> bool:
        """Return whether the VM surely runs until a caller's deadline."""
        stop_times = self._admission.stop_times
        if stop_times is None:
            return True
        wait_s = self.wire.read_metadata(request).wait_s
        now = self.clock.monotonic()
        return wait_s is not None and now + wait_s <= stop_times.answer_by

    def begin_stop(
        self, times: stopping.StopTimes, *, estimates_end: bool = True
    ) -> None:
        """Refuse from now on what may not end before the VM does.

        Args:
            times: Times of the stop.
            estimates_end: Whether this VM estimates how long requests take;
                else the VM does to which they are relayed.
        """
        self._admission.begin_stop(times, estimates_end=estimates_end)

    def refuse_all(self) -> None:
        """Refuse each request from now on, before it waits for anything.

        What is in flight is answered after this, and what is handled again
        then must not begin another wait: the process ends.
        """
        self._admission.ended = True

    def budget_for(self, service: str) -> budget.RetryBudget:
        """Return the budget of retries and hedges of a service."""
        return self._states.budget_for(service)

    def queue_for(self, service: str) -> wait_queue.WaitQueue:
        """Return the queue of calls that wait for a leaf of a service."""
        return self._states.queue_for(service)

    def latency_for(self, route: routes.Route) -> latency.LatencyEstimator:
        """Return the latency estimator of a route."""
        return self._states.latency_for(route)

    @property
    def vm_count(self) -> int:
        """VMs that share each service's retry allowance."""
        return self._states.vm_count

    def set_vm_count(self, count: int) -> None:
        """Set the number of VMs that share each service's retry allowance."""
        self._states.set_vm_count(count)

    def start_queued_calls(self, pool: replicas.LeafPool) -> None:
        """Start queued calls after a leaf gained free capacity."""
        self._states.dispatch(pool.entry.service)

    def record_send(self, *, extra: bool) -> None:
        """Count a request sent to a leaf."""
        self.sends += 1
        self.sends_extra += extra

    def log_lost_call(
        self, context: request_context.RequestContext, leaf_id: str, reason: str
    ) -> None:
        """Log a call to a leaf that ended without a response."""
        self._log.emit(
            base.Event.LEAF_CALL_LOST,
            request=context.metadata.id.decode("latin-1"),
            leaf=leaf_id,
            reason=reason,
        )

    def rejected(self, status: int, reason: str) -> None:
        """Log input from a caller that is not a valid HTTP request."""
        self._log.emit(base.Event.CALLER_REJECTED, status=status, reason=reason)

    def handle(self, exchange: http1.Exchange) -> None:
        """Route a request and start forwarding it."""
        request = exchange.request
        metadata = self.wire.read_metadata(request)
        if self._admission.ended:
            refusal = stopping.refuse_at_end(
                self._time_left_s(exchange, metadata)
            )
            self._refuse(
                exchange, metadata, refusal.code, refusal.retry_after_s
            )
            return
        if self.table is None:
            self._wait_for_routes(exchange, metadata)
            return
        route = self.find_route(request)
        if route is None:
            host = http1.find_header(request.headers, b"host") or b""
            self._respond(
                exchange,
                metadata,
                base.ResultCode.NO_ROUTE,
                http1.HttpResponse(status=404),
                {"host": host.decode("latin-1")},
            )
            return
        self._start(exchange, metadata, route)

    def find_route(self, request: http1.HttpRequest) -> routes.Route | None:
        """Return the route of a request in the active routes, if any."""
        if self.table is None:
            return None
        host = http1.find_header(request.headers, b"host") or b""
        path = request.target.partition(b"?")[0]
        return self.table.match(host.partition(b":")[0], path)

    def _time_left_s(
        self, exchange: http1.Exchange, metadata: wires.RequestMetadata
    ) -> float:
        """Return the seconds that a caller waits on, whatever its route."""
        wait_s = metadata.wait_s
        if wait_s is None:
            wait_s = _TIME_LEFT_DEFAULT_S
        return wait_s + exchange.received_at - self.clock.monotonic()

    def _wait_for_routes(
        self, exchange: http1.Exchange, metadata: wires.RequestMetadata
    ) -> None:
        """Handle the request again shortly, or refuse it."""
        refusal = admission.admit_without_routes(
            admission.StartupState(
                read_failed=self.route_read_failed(),
                waited_s=self.clock.monotonic() - exchange.received_at,
                time_left_s=self._time_left_s(exchange, metadata),
            )
        )
        if refusal is not None:
            self._refuse(
                exchange, metadata, refusal.code, refusal.retry_after_s
            )
            return
        retry = self.clock.call_later(
            _ROUTES_CHECK_PAUSE_S, self.handle, exchange
        )
        exchange.on_disconnect = retry.cancel

    def _start(
        self,
        exchange: http1.Exchange,
        metadata: wires.RequestMetadata,
        route: routes.Route,
    ) -> None:
        time_left_s = (
            route.timeout_s if metadata.wait_s is None else metadata.wait_s
        )
        time_left_s = min(time_left_s, route.timeout_s)
        assert self.table is not None
        request = exchange.request
        request.link_s = (
            request.link_s_per_byte * self._response_sizes.estimate(request)
        )
        access = account_access.decide(
            table=self.table,
            route=route,
            wire=self.wire,
            request=request,
            is_confirmed=self.accounts_confirmed,
        )
        if access is not None and access.refusal is not None:
            self._count_refusal(access.account)
            self._respond(
                exchange,
                metadata,
                *account_access.make_refusal(access.refusal, time_left_s),
            )
            return
        context = request_context.RequestContext(
            request=request,
            template=http1.RequestTemplate.of(
                request,
                headers=self.wire.forwarded_headers(request, access),
            ),
            metadata=metadata,
            route=route,
            deadline=exchange.received_at + time_left_s,
            objective_deadline=gather_policy.compute_objective_deadline(
                received_at=exchange.received_at,
                waited_s=max(0.0, route.timeout_s - time_left_s),
                network_s=request.network_s + request.link_s,
                objective_s=route.objective_s,
            ),
            account=access.account if access is not None else None,
        )
        identity_account = account_access.identity_account(access, metadata)
        if self._is_quarantined(exchange, context, identity_account):
            return
        services = self._states.choose_services(route)
        refusal = self._admission.admit(context, services)
        if refusal is not None:
            self._end_trial(context)
            self._count_refusal(context.account)
            self._refuse(
                exchange, metadata, refusal.code, refusal.retry_after_s
            )
            return
        self.in_flight += 1
        account = context.account
        if self.quota_gate is None or account is None or account.quota is None:
            self._run(exchange, context, services)
            return
        quota_wait.QuotaWait(
            env=self,
            gate=self.quota_gate,
            exchange=exchange,
            context=context,
            on_admitted=lambda: self._run(exchange, context, services),
            on_refused=lambda decision: self._refuse_by_quota(
                exchange, context, decision
            ),
        ).start()

    def _run(
        self,
        exchange: http1.Exchange,
        context: request_context.RequestContext,
        services: tuple[str, ...],
    ) -> None:
        """Send an admitted request to leaves."""
        if context.account is not None:
            self.account_usage.counts_of(context.account.name).admitted += 1
        if context.route.gather is not None:
            gather_run.GatherRun(
                env=self, exchange=exchange, context=context
            ).start()
        else:
            single_run.SingleRun(
                env=self,
                exchange=exchange,
                context=context,
                service=services[0],
            ).start()

    def _is_quarantined(
        self,
        exchange: http1.Exchange,
        context: request_context.RequestContext,
        account: bytes,
    ) -> bool:
        """Refuse a request that crashes leaves, or let it wait.

        Returns:
            Whether it is not started now.
        """
        if self.gate is None:
            return False
        identity = quarantine.identify(exchange.request, account=account)
        now = self.clock.monotonic()
        admitted = self.gate.admit(
            identity,
            now=now,
            gathered=context.route.gather is not None,
            waited_s=now - exchange.received_at,
        )
        if admitted.waits:
            self._wait_for_decision(exchange, identity.fingerprint)
            return True
        context.identity = identity
        context.suspect = admitted.suspect or admitted.canary
        context.one_first = context.suspect
        context.canary = admitted.canary
        context.on_trial = admitted.on_trial
        if admitted.refused:
            self._count_refusal(context.account)
            self._refuse(
                exchange,
                context.metadata,
                base.ResultCode.QUARANTINED,
                admitted.retry_after_s,
                {"fingerprint": identity.fingerprint},
            )
        return admitted.refused

    def _wait_for_decision(
        self, exchange: http1.Exchange, fingerprint: str
    ) -> None:
        """Handle a request again once it is known if it crashes leaves."""
        assert self.gate is not None and self.gate.early is not None
        # The VM does not end meanwhile.
        self.in_flight += 1
        decision_wait.DecisionWait(
            clock=self.clock,
            early=self.gate.early,
            exchange=exchange,
            fingerprint=fingerprint,
            on_end=self._end_decision_wait,
            handle_again=self.handle,
        ).start()

    def _end_decision_wait(self) -> None:
        self.in_flight -= 1

    def _end_trial(self, context: request_context.RequestContext) -> None:
        if context.on_trial and self.gate and context.identity:
            context.on_trial = False
            self.gate.end_trial(context.identity)

    def _count_refusal(self, account: accounts.Account | None) -> None:
        if account is not None:
            self.account_usage.counts_of(account.name).refused_otherwise += 1

    def _refuse_by_quota(
        self,
        exchange: http1.Exchange,
        context: request_context.RequestContext,
        decision: quota.QuotaDecision,
    ) -> None:
        self.in_flight -= 1
        self._end_trial(context)
        self._respond(
            exchange,
            context.metadata,
            *quota_wait.make_refusal(context, decision, self.account_usage),
        )

    def _refuse(
        self,
        exchange: http1.Exchange,
        metadata: wires.RequestMetadata,
        code: base.ResultCode,
        retry_after_s: float,
        fields: dict | None = None,
    ) -> None:
        self._respond(
            exchange,
            metadata,
            code,
            responses.make_refusal(retry_after_s),
            {"retry_after_s": retry_after_s, **(fields or {})},
        )

    def finish(
        self,
        exchange: http1.Exchange,
        context: request_context.RequestContext,
        code: base.ResultCode,
        response: http1.HttpResponse,
        fields: dict,
    ) -> None:
        """Send the response to an admitted request and log it."""
        self.in_flight -= 1
        self._end_trial(context)
        quota_wait.release_unsent(self.quota_gate, context)
        assert self.table is not None
        now = self.clock.monotonic()
        fields["route"] = context.route.name
        if context.account is not None:
            fields["account"] = context.account.name
        fields["late"] = gather_policy.is_late(
            now=now, objective_deadline=context.objective_deadline
        )
        if code in (base.ResultCode.COMPLETE, base.ResultCode.PARTIAL):
            self._response_sizes.add(context.request, response)
        fields["left_ms"] = round((context.deadline - now) * 1000)
        self._respond(exchange, context.metadata, code, response, fields)

    def _respond(
        self,
        exchange: http1.Exchange,
        metadata: wires.RequestMetadata,
        code: base.ResultCode,
        response: http1.HttpResponse,
        fields: dict,
    ) -> None:
        self.count_by_outcome[code] = self.count_by_outcome.get(code, 0) + 1
        elapsed_s = self.clock.monotonic() - exchange.received_at
        self.histogram.add(elapsed_s)
        self._log.emit(
            base.Event.REQUEST_ENDED,
            request=metadata.id.decode("latin-1"),
            code=str(code),
            status=response.status,
            took_ms=round(elapsed_s * 1000, 1),
            config=self.table.version if self.table else 0,
            **fields,
        )
        exchange.respond(response)

    def handle_caller_disconnect(
        self, context: request_context.RequestContext, received_at: float
    ) -> None:
        """Log a caller that disconnected before its response."""
        self.in_flight -= 1
        self._end_trial(context)
        quota_wait.release_unsent(self.quota_gate, context)
        elapsed_s = self.clock.monotonic() - received_at
        self._log.emit(
            base.Event.CALLER_LEFT,
            request=context.metadata.id.decode("latin-1"),
            route=context.route.name,
            took_ms=round(elapsed_s * 1000, 1),
        )
