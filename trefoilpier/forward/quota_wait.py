"""The wait of an admitted request for the decision on its account's quota."""

from collections.abc import Callable

from trefoilpier import accounts, base, http1
from trefoilpier.forward import (
    admission,
    environment,
    quota,
    request_context,
    responses,
)

# The response must reach the caller before its deadline.
_RESPONSE_MARGIN_S = 0.005


class QuotaWait:
    """A request whose account has a quota, until the gate has decided.

    The gate may need the answer of another VM. The wait ends early if the
    caller disconnects or its deadline passes.
    """

    __slots__ = (
        "_context",
        "_done",
        "_env",
        "_exchange",
        "_gate",
        "_on_admitted",
        "_on_refused",
        "_timer",
        "_withdraw",
    )

    def __init__(
        self,
        *,
        env: environment.ForwardEnvironment,
        gate: quota.QuotaGate,
        exchange: http1.Exchange,
        context: request_context.RequestContext,
        on_admitted: Callable[[], None],
        on_refused: Callable[[quota.QuotaDecision], None],
    ) -> None:
        """Create the wait; `start` asks the gate.

        Args:
            env: State and services of the VM.
            gate: Decides on the request.
            exchange: The request and the means to respond to it.
            context: Its context, with the account.
            on_admitted: Called if the request may be sent to leaves.
            on_refused: Called if it may not.
        """
        self._env = env
        self._gate = gate
        self._exchange = exchange
        self._context = context
        self._on_admitted = on_admitted
        self._on_refused = on_refused
        self._done = False
        self._timer: base.Timer | None = None
        self._withdraw: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Ask the gate, which mostly decides at once."""
        assert self._context.account is not None
        withdraw = self._gate.acquire(
            self._context.account, self._handle_decision
        )
        if self._done:
            return
        self._withdraw = withdraw
        clock = self._env.clock
        time_left_s = self._context.deadline - clock.monotonic()
        self._timer = clock.call_later(
            max(0.0, time_left_s - _RESPONSE_MARGIN_S), self._handle_deadline
        )
        self._exchange.on_disconnect = self._handle_caller_disconnect
        self._exchange.on_expire = self._handle_deadline

    def _end(self) -> None:
        self._done = True
        self._exchange.on_disconnect = self._exchange.on_expire = None
        if self._timer is not None:
            self._timer.cancel()

    def _handle_decision(self, decision: quota.QuotaDecision) -> None:
        if self._done:
            # The gate decided while the request was withdrawn.
            if decision.admitted and self._context.account is not None:
                self._gate.release(self._context.account)
            return
        self._end()
        if decision.admitted:
            self._context.quota_held = True
            self._on_admitted()
            return
        self._on_refused(decision)

    def _handle_deadline(self) -> None:
        self._end()
        self._withdraw()
        time_left_s = self._context.deadline - self._env.clock.monotonic()
        self._on_refused(
            quota.QuotaDecision(
                admitted=False,
                retry_after_s=admission.retry_after(time_left_s),
                below_limit=True,
            )
        )

    def _handle_caller_disconnect(self) -> None:
        self._end()
        self._withdraw()
        self._env.handle_caller_disconnect(
            self._context, self._exchange.received_at
        )


def make_refusal(
    context: request_context.RequestContext,
    decision: quota.QuotaDecision,
    usage: accounts.AccountUsage,
) -> tuple[base.ResultCode, http1.HttpResponse, dict]:
    """Return code, response and log fields of a refused request; count it."""
    assert context.account is not None
    name = context.account.name
    counts = usage.counts_of(name)
    counts.refused_below_quota += decision.below_limit
    counts.refused_quota += not decision.below_limit
    fields = {
        "retry_after_s": decision.retry_after_s,
        "account": name,
        "below_limit": decision.below_limit,
    }
    return (
        base.ResultCode.QUOTA_EXCEEDED,
        responses.make_quota_refusal(decision.retry_after_s),
        fields,
    )


def release_unsent(
    gate: quota.QuotaGate | None, context: request_context.RequestContext
) -> None:
    """Give a request back to the quota if it has reached no leaf."""
    if not context.quota_held or gate is None or context.account is None:
        return
    context.quota_held = False
    if not context.sent:
        gate.release(context.account)
