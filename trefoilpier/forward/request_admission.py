"""Admission of a request by the state of its services and of the VM."""

from trefoilpier.forward import (
    admission,
    environment,
    request_context,
    service_state,
    shared_states,
    stopping,
)

_NEVER = float("inf")


class RequestAdmission:
    """Estimates the state that decisions depend on, and asks them in turn.

    Attributes:
        ended: Whether nothing is admitted any more, since the VM ends.
        stop_times: Times of the VM's stop; None unless it stops.
    """

    __slots__ = ("_env", "_estimates_end", "_states", "ended", "stop_times")

    def __init__(
        self,
        *,
        env: environment.ForwardEnvironment,
        states: shared_states.SharedStates,
    ) -> None:
        """Create the admission of a VM that does not stop.

        Args:
            env: State and services of the VM.
            states: Queues and latencies of the VM.
        """
        self._env = env
        self._states = states
        self._estimates_end = True
        self.ended = False
        self.stop_times: stopping.StopTimes | None = None

    def begin_stop(
        self, times: stopping.StopTimes, *, estimates_end: bool
    ) -> None:
        """Refuse from now on what may not end before the VM does.

        Args:
            times: Times of the stop.
            estimates_end: Whether this VM estimates how long requests take;
                else the VM does to which they are relayed.
        """
        self.stop_times = times
        self._estimates_end = estimates_end

    def admit(
        self,
        context: request_context.RequestContext,
        services: tuple[str, ...],
    ) -> admission.Refusal | None:
        """Return a refusal, or None if the request is admitted.

        Args:
            context: The request.
            services: Services to which it would be sent.
        """
        now = self._env.clock.monotonic()
        time_to_end_s = self._time_to_end_s(context, now)
        policy = self._env.policy
        if not policy.admission and time_to_end_s == _NEVER:
            return None
        state = service_state.estimate_admission_state(
            context,
            services,
            registry=self._env.registry,
            states=self._states,
            now=now,
        )
        if time_to_end_s < _NEVER:
            refusal = stopping.admit(
                self._stopping_state(context, state, now, time_to_end_s)
            )
            if refusal is not None:
                return refusal
        if not policy.admission:
            return None
        if context.route.gather is not None and policy.shard_selection:
            context.shard_states = state.services
        return admission.admit(state)

    def _time_to_end_s(
        self, context: request_context.RequestContext, now: float
    ) -> float:
        """Return seconds until this or the relaying VM ends its requests."""
        sender_ends_in_s = context.request.sender_ends_in_s
        if self.stop_times is None:
            return sender_ends_in_s
        return min(sender_ends_in_s, self.stop_times.answer_by - now)

    def _stopping_state(
        self,
        context: request_context.RequestContext,
        state: admission.AdmissionState,
        now: float,
        time_to_end_s: float,
    ) -> stopping.StoppingState:
        expected_s = excess_s = 0.0
        if self._estimates_end:
            expected_s = admission.expected_s(state) or 0.0
            excess_s = stopping.allowed_excess_s(
                self._states.latency_for(context.route),
                repeatable=context.route.repeatable,
            )
        times = self.stop_times
        return stopping.StoppingState(
            expected_s=expected_s,
            excess_s=excess_s,
            time_left_s=state.time_left_s,
            time_to_end_s=time_to_end_s,
            in_rotation=times is not None and now < times.leaves_rotation_at,
        )
