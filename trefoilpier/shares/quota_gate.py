"""Quotas of client accounts as shared limits."""

from collections.abc import Callable

from trefoilpier import accounts, forward
from trefoilpier.shares import holder, service, spec

_NAME_PREFIX = "quota/"
_ADMITTED = forward.QuotaDecision(admitted=True)
_SPECS_MAX = 20_000  # Quotas of different size.


class QuotaLimits:
    """Limits that follow from quotas.

    >>> limits = QuotaLimits(window_s=5.0, excess=0.1, slack=20.0)
    >>> limits.of(accounts.Quota(rate=2.0, burst=1.0)).rate
    2.0
    """

    __slots__ = ("_excess", "_slack", "_spec_by_quota", "_window_s")

    def __init__(self, *, window_s: float, excess: float, slack: float) -> None:
        """Set the bounds of all quotas.

        Args:
            window_s: Length of the sliding window in seconds.
            excess: Tolerated excess as a share.
            slack: Requests tolerated in addition.
        """
        self._window_s = window_s
        self._excess = excess
        self._slack = slack
        self._spec_by_quota: dict[accounts.Quota, spec.LimitSpec] = {}

    def of(self, quota: accounts.Quota) -> spec.LimitSpec:
        """Return the limit of a quota."""
        limit_spec = self._spec_by_quota.get(quota)
        if limit_spec is None:
            if len(self._spec_by_quota) >= _SPECS_MAX:
                self._spec_by_quota.clear()
            limit_spec = spec.LimitSpec(
                rate=quota.rate,
                burst=quota.burst,
                window_s=self._window_s,
                excess=self._excess,
                slack=self._slack,
            )
            self._spec_by_quota[quota] = limit_spec
        return limit_spec

    def find(
        self, name: str, table: accounts.AccountTable | None
    ) -> spec.LimitSpec | None:
        """Return a limit by name, from the accounts in force."""
        if table is None or not name.startswith(_NAME_PREFIX):
            return None
        account = table.account_by_name.get(name[len(_NAME_PREFIX) :])
        if account is None or account.quota is None:
            return None
        return self.of(account.quota)


class SharedQuotaGate(forward.QuotaGate):
    """Admission of requests by quotas that all VMs share."""

    __slots__ = ("_limits", "_service")

    def __init__(
        self, *, share_service: service.ShareService, limits: QuotaLimits
    ) -> None:
        self._service = share_service
        self._limits = limits

    def acquire(
        self,
        account: accounts.Account,
        on_decided: Callable[[forward.QuotaDecision], None],
    ) -> Callable[[], None]:
        """Ask for one request of an account that has a quota."""
        assert account.quota is not None

        def decide(decision: holder.ShareDecision) -> None:
            if decision.admitted:
                on_decided(_ADMITTED)
                return
            on_decided(
                forward.QuotaDecision(
                    admitted=False,
                    retry_after_s=decision.retry_after_s,
                    below_limit=decision.below_limit,
                )
            )

        return self._service.acquire(
            _NAME_PREFIX + account.name, self._limits.of(account.quota), decide
        )

    def release(self, account: accounts.Account) -> None:
        """Give back one admitted request that was not sent to any leaf."""
        self._service.release(_NAME_PREFIX + account.name)
