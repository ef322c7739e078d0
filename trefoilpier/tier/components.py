"""Engines, registries and relay paths of one VM."""

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from trefoilpier import (
    base,
    fleet,
    forward,
    platform,
    quarantine,
    replicas,
    store,
)
from trefoilpier.tier import dispatcher

# To one gatherer; each request in flight uses one connection.
_RELAY_CONNECTIONS_MAX = 512
# Gatherers keep idle connections as long as a caller's.
_RELAY_REUSE_POLICY = replicas.ReusePolicy(
    idle_s=10.0, non_repeatable_idle_s=10.0
)
# Generous, since a request is sent to a second gatherer only if the first one
# has not run it.
_RELAY_BUDGET = forward.RetryBudgetLimits(
    share=1.0, window_s=10.0, allowance=200.0
)


class ComponentFactory:
    """Creates components that a VM has more than once."""

    __slots__ = (
        "_boot",
        "_clock",
        "_log",
        "_policy",
        "_reactor",
        "_rng",
        "_store",
    )

    def __init__(
        self,
        *,
        boot: platform.BootSettings,
        clock: base.Clock,
        log: base.EventLog,
        reactor: Any,
        policy: forward.ForwardPolicy,
        rng: random.Random,
        store_client: store.KeyValueStore,
    ) -> None:
        """Create the factory.

        Args:
            boot: Settings of the VM.
            clock: Source of time and timers.
            log: Log of events.
            reactor: Reactor that opens connections.
            policy: Settings of the decisions on requests.
            rng: Source of jitter.
            store_client: The platform's store.
        """
        self._boot = boot
        self._clock = clock
        self._log = log
        self._reactor = reactor
        self._policy = policy
        self._rng = rng
        self._store = store_client

    def make_engine(
        self,
        wire: forward.LeafWire,
        budget: forward.RetryBudgetLimits,
        *,
        reuse: replicas.ReusePolicy | None = None,
        gate: quarantine.QuarantineGate | None = None,
        end_observer: replicas.LeafEndObserver | None = None,
        policy: forward.ForwardPolicy | None = None,
    ) -> tuple[forward.ForwardEngine, replicas.LeafRegistry]:
        """Create an engine and the registry of the leaves that it asks.

        Args:
            wire: Protocol of callers and leaves.
            budget: Limits on retries and hedges.
            reuse: Limits on the reuse of idle connections; None for defaults.
            gate: Admission by the evidence against requests; None for none.
            end_observer: Receives the ends of leaves; None for none.
            policy: Settings of the decisions; None for those of the VM.
        """
        engine = forward.ForwardEngine(
            clock=self._clock,
            log=self._log,
            wire=wire,
            chooser=replicas.LeafChooser(
                rng=self._rng,
                zone=self._boot.zone,
                policy=self._policy.leaves,
            ),
            budget_limits=budget,
            forward_policy=policy or self._policy,
            gate=gate,
        )
        registry = replicas.LeafRegistry(
            clock=self._clock,
            log=self._log,
            reactor=self._reactor,
            id_header=wire.id_header,
            on_capacity=engine.start_queued_calls,
            vm_id=self._boot.node_id,
            end_observer=end_observer,
            reuse=reuse,
            policy=self._policy.leaves,
            cold_bounds=self._cold_bounds(),
            read_warm_up_s=wire.read_warm_up_s,
        )
        engine.registry = registry
        return engine, registry

    def make_relay(
        self,
        wire: forward.LeafWire,
        *,
        zone: str,
        tracks_leaves: Callable[[], bool],
        on_state: Callable[[fleet.VmRecord, fleet.GathererState], None],
        reads_suspicions: bool = False,
    ) -> dispatcher.Relay:
        """Create a path to gatherers and the watch that chooses them.

        Args:
            wire: Protocol of callers and leaves.
            zone: Preferred availability zone of the gatherers; empty for any.
            tracks_leaves: Returns whether a change of their leaves matters.
            on_state: Called with each state that a gatherer reports.
            reads_suspicions: Whether suspicions of requests matter.
        """
        relay_wire = fleet.RelayWire(wire=wire)
        engine, registry = self.make_engine(
            relay_wire,
            _RELAY_BUDGET,
            reuse=_RELAY_REUSE_POLICY,
            # The gatherer lets its own calls go on for a while.
            policy=dataclasses.replace(self._policy, cancel_delay_s=0.0),
        )
        registry.set_connection_limits(
            {fleet.GATHERER_SERVICE: _RELAY_CONNECTIONS_MAX}
        )
        watch = fleet.GathererWatch(
            clock=self._clock,
            log=self._log,
            rng=self._rng,
            reactor=self._reactor,
            store_client=self._store,
            registry=registry,
            own_id=self._boot.node_id,
            zone=zone,
            tracks_leaves=tracks_leaves,
            on_state=on_state,
            reads_suspicions=reads_suspicions,
        )
        return dispatcher.Relay(engine=engine, wire=relay_wire, watch=watch)

    def _cold_bounds(self) -> replicas.ColdBounds | None:
        bounds = self._boot.cold_leaves
        if bounds is None:
            return None
        return replicas.ColdBounds(factor=bounds.factor, slack=bounds.slack)
