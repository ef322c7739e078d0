"""Page and metrics of what became of the requests of client accounts."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import orjson

from trefoilpier import accounts, forward, http1

if TYPE_CHECKING:
    import aioprometheus

PATH = b"/accounts"
# Accounts with a label of their own: a scrape must stay small with thousands.
_LABELED_ACCOUNTS = 20
_NO_COUNTS = accounts.AccountCounts()
_LABEL_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


class AccountPages:
    """The pages of one VM about the accounts of the requests it decided on."""

    __slots__ = ("_engine",)

    def __init__(self, *, engine: forward.ForwardEngine) -> None:
        """Create the pages.

        Args:
            engine: Engine that sends requests to leaves.
        """
        self._engine = engine

    def list_usage(self, request: http1.HttpRequest) -> http1.HttpResponse:
        """Return counters and quota of each account."""
        table = self._engine.table
        account_table = table.account_table if table is not None else None
        account_by_name = (
            account_table.account_by_name if account_table is not None else {}
        )
        counts_by_name = self._engine.account_usage.counts_by_name
        document = {
            "version": table.version if table is not None else 0,
            "used": account_table is not None,
            "accounts": [
                _make_row(
                    name,
                    account_by_name.get(name),
                    counts_by_name.get(name, _NO_COUNTS),
                )
                for name in sorted({*account_by_name, *counts_by_name})
            ],
        }
        return http1.HttpResponse(
            status=200,
            headers=[(b"content-type", b"application/json")],
            body=orjson.dumps(document),
        )


def _make_row(
    name: str,
    account: accounts.Account | None,
    counts: accounts.AccountCounts,
) -> dict:
    quota = account.quota if account is not None else None
    return {
        "account": name,
        "in_force": account is not None,
        "priority": account.priority if account is not None else None,
        "rate": quota.rate if quota is not None else None,
        "burst": quota.burst if quota is not None else None,
        **_outcomes(counts),
    }


def _outcomes(counts: accounts.AccountCounts) -> dict[str, int]:
    return {
        "admitted": counts.admitted,
        "refused_quota": counts.refused_quota,
        "refused_below_quota": counts.refused_below_quota,
        "refused_otherwise": counts.refused_otherwise,
    }


def add_metrics(
    make_gauge: "Callable[[str, str], aioprometheus.Gauge]",
    usage: accounts.AccountUsage,
) -> None:
    """Add the requests of the busiest accounts, and of all others together.

    Args:
        make_gauge: Returns a new metric of a name and a description.
        usage: Counters of the accounts; without any, no metric is added.
    """
    if not usage.counts_by_name:
        return
    requests = make_gauge(
        "account_requests_total",
        "Requests by account and outcome; without account: of all others.",
    )
    busiest = usage.busiest(_LABELED_ACCOUNTS)
    others = _outcomes(usage.total())
    for name, counts in busiest:
        label = name.translate(_LABEL_ESCAPES)
        for outcome, count in _outcomes(counts).items():
            requests.set({"account": label, "outcome": outcome}, count)
            others[outcome] -= count
    if len(usage.counts_by_name) > len(busiest):
        for outcome, count in others.items():
            requests.set({"outcome": outcome}, count)
