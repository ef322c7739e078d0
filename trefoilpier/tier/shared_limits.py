"""Limits that all VMs share, as used by one VM."""

from collections.abc import Callable
from typing import Any

from trefoilpier import base, fleet, forward, platform, routes, shares
from trefoilpier.fleet import share_exchange
from trefoilpier.shares import quota_gate


class SharedLimits:
    """The shared limits of one VM with their connections to other VMs.

    Attributes:
        gate: Admission of requests by the quotas of accounts.
    """

    __slots__ = ("_log", "_record_by_id", "_service", "_transport", "gate")

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        reactor: Any,
        vm_id: str,
        bounds: platform.QuotaBounds,
        get_table: Callable[[], routes.RouteTable | None],
    ) -> None:
        """Create the limits without other VMs.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            reactor: Reactor that opens connections.
            vm_id: Name of this VM.
            bounds: Bounds on the quotas of accounts.
            get_table: Returns the routes and accounts in force here.
        """
        self._log = log
        self._record_by_id: dict[str, fleet.VmRecord] = {}
        self._transport = share_exchange.HttpShareTransport(
            clock=clock, reactor=reactor, find_record=self._record_by_id.get
        )
        limits = quota_gate.QuotaLimits(
            window_s=bounds.window_s, excess=bounds.excess, slack=bounds.slack
        )

        def find_spec(name: str) -> shares.LimitSpec | None:
            table = get_table()
            if table is None:
                return None
            return limits.find(name, table.account_table)

        self._service = shares.ShareService(
            clock=clock,
            log=log,
            share_transport=self._transport,
            own_id=vm_id,
            run=int(clock.utc_now().timestamp() * 1000),
            find_spec=find_spec,
        )
        self.gate: forward.QuotaGate = quota_gate.SharedQuotaGate(
            share_service=self._service, limits=limits
        )

    def listen(self, state_handler: fleet.StateHandler) -> None:
        """Answer messages of other VMs on the second peer port."""
        state_handler.handler_by_path[share_exchange.SHARES_PATH] = (
            share_exchange.ShareHandler(log=self._log, service=self._service)
        )

    def set_gatherers(self, records: list[fleet.VmRecord]) -> None:
        """Change the gatherers, which own the limits."""
        record_by_id = {record.id: record for record in records}
        if record_by_id == self._record_by_id:
            return
        self._record_by_id.clear()
        self._record_by_id.update(record_by_id)
        self._transport.keep_only(records)
        self._service.set_members(
            {record.id: record.started_ms for record in records}
        )

    def stop(self) -> None:
        """Leave the limits that this VM owns to others."""
        self._service.stop()

    @property
    def gauges(self) -> dict[str, Callable[[], float]]:
        """Functions that return metrics, by name."""
        return self._service.gauges
