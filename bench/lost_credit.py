"""Account of the credit that requests lost, from the logs of all VMs.

    bin/lost-credit LOG... [--window SECONDS]

A request within its latency objective earns the square of its coverage; a late,
refused or failed one earns nothing here. Each line of a log is a JSON object of
``trefoilpier.tier``. A collector may put the time of its own clock before it;
without one, ``at`` is used, which only one process shares.

Requests that reached no VM are not in any log. They are estimated from the
silences of all logs together, at the rate of the other moments.
"""

import argparse
import pathlib
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import orjson

from trefoilpier import base

_SILENCE_MIN_S = 0.25  # Shorter ones occur by chance at low rates.
_SILENT = "no VM answered"
_RELAY_ROUTE = "relay"
_UNAVOIDABLE = frozenset(
    (
        _SILENT,
        f"{base.ResultCode.NO_CONFIGURATION} refused",
        "shard without leaves",
    )
)


@dataclass(slots=True, kw_only=True, frozen=True)
class Ended:
    """The end of one request.

    Attributes:
        at: Time in seconds.
        route: Name of the route; empty for a request that was not admitted.
        lost_by_cause: Lost credit by cause; empty for a whole, timely answer.
    """

    at: float
    route: str
    lost_by_cause: dict[str, float]


@dataclass(slots=True, kw_only=True)
class Account:
    """Lost credit of a set of logs.

    Attributes:
        requests: Number of requests, with estimated ones.
        lost_by_cause: Lost credit by cause.
        lost_by_route: Lost credit by route.
        lost_by_window: Lost credit by start of a time window in seconds.
        requests_by_window: Number of requests by start of a time window.
    """

    requests: float = 0.0
    lost_by_cause: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    lost_by_route: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    lost_by_window: dict[float, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    requests_by_window: dict[float, float] = field(
        default_factory=lambda: defaultdict(float)
    )

    @property
    def best(self) -> float:
        """Share of the credit that was possible for any policy.

        Requests that met no VM, no routes or a shard without leaves count as
        lost to every policy.
        """
        unavoidable = sum(self.lost_by_cause[cause] for cause in _UNAVOIDABLE)
        return 1.0 - unavoidable / max(1.0, self.requests)

    def add(self, ended: Ended, window_s: float, count: float = 1.0) -> None:
        """Add a request, or several alike."""
        window = ended.at // window_s * window_s
        self.requests += count
        self.requests_by_window[window] += count
        for cause, lost in ended.lost_by_cause.items():
            self.lost_by_cause[cause] += count * lost
            self.lost_by_route[ended.route] += count * lost
            self.lost_by_window[window] += count * lost


def lost_credit(row: dict) -> dict[str, float]:
    """Return the credit that a request lost, by cause.

    Args:
        row: Fields of the event ``REQUEST_ENDED``.

    >>> lost_credit({"code": "TPR-3001", "status": 503})
    {'TPR-3001 refused': 1.0}
    >>> lost = lost_credit({"code": "TPR-1001", "status": 200, "late": False,
    ...                     "shards": 10, "present": 9,
    ...                     "missing": {"s3": ["leaf-1"]},
    ...                     "hedges": {"s3": "no budget"}})
    >>> [(cause, round(share, 2)) for cause, share in lost.items()]
    [('second send: no budget', 0.19)]
    """
    code, status = row["code"], row["status"]
    if status == 503:
        return {f"{code} refused": 1.0}
    if not 200 <= status < 300:
        return {f"{code} failed": 1.0}
    if row.get("late"):
        return {"late": 1.0}
    shards = row.get("shards", 0)
    if not shards or row["present"] == shards:
        return {}
    lost = 1.0 - (row["present"] / shards) ** 2
    causes = [
        f"second send: {row['hedges'][service]}"
        if leaves
        else "shard without leaves"
        for service, leaves in row["missing"].items()
    ]
    by_cause: dict[str, float] = defaultdict(float)
    for cause in causes:
        by_cause[cause] += lost / len(causes)
    return dict(by_cause)


def read_ends(lines: Iterable[str]) -> Iterator[Ended]:
    """Yield the ends of requests; other and damaged lines are left out.

    Where a collector puts a time before the lines, one without is damaged.
    """
    timed = False
    for line in lines:
        prefix, brace, text = line.partition("{")
        time_s = _read_time(prefix)
        timed = timed or time_s is not None
        if not brace or base.Event.REQUEST_ENDED.number not in text:
            continue
        if timed and time_s is None:
            continue
        try:
            row = orjson.loads(brace + text)
        except orjson.JSONDecodeError:
            continue
        # Requests without a route are probes of the routes in force. A relayed
        # request has its own line on the VM that gathered.
        if row.get("code") == base.ResultCode.NO_ROUTE:
            continue
        if row.get("route") == _RELAY_ROUTE:
            continue
        yield Ended(
            at=row["at"] if time_s is None else time_s,
            route=row.get("route", ""),
            lost_by_cause=lost_credit(row),
        )


def _read_time(prefix: str) -> float | None:
    """Return the time before a line's object, or None."""
    words = prefix.split()
    try:
        return float(words[0]) if words else None
    except ValueError:
        return None


def make_account(ends: Iterable[Ended], window_s: float) -> Account:
    """Return the account of all requests, with those of silent moments."""
    ordered = sorted(ends, key=lambda each: each.at)
    account = Account()
    for ended in ordered:
        account.add(ended, window_s)
    if len(ordered) < 2:
        return account
    silences = [
        (earlier.at, later.at - earlier.at)
        for earlier, later in zip(ordered, ordered[1:], strict=False)
        if later.at - earlier.at > _SILENCE_MIN_S
    ]
    silent_s = sum(length for _, length in silences)
    answered_s = ordered[-1].at - ordered[0].at - silent_s
    rate = len(ordered) / answered_s if answered_s > 0 else 0.0
    for start, length in silences:
        silent = Ended(at=start, route="", lost_by_cause={_SILENT: 1.0})
        account.add(silent, window_s, count=rate * length)
    return account


def print_account(account: Account) -> None:
    """Print the tables of an account."""
    total = max(1.0, account.requests)
    lost = sum(account.lost_by_cause.values())
    print(f"requests {account.requests:.0f}, credit {1 - lost / total:.4f}")
    print(f"best possible {account.best:.4f}")
    for title, lost_by_key in (
        ("cause", account.lost_by_cause),
        ("route", account.lost_by_route),
    ):
        print(f"lost by {title}, share of all credit:")
        ranked = sorted(lost_by_key.items(), key=lambda item: -item[1])
        for key, value in ranked:
            if value:
                print(f"  {value / total:.4f}  {key or 'not admitted'}")
    print("credit by moment, where less than 0.98:")
    for window, count in sorted(account.requests_by_window.items()):
        credit = 1.0 - account.lost_by_window[window] / count
        if credit < 0.98:
            print(f"  {window:8.1f} s  {credit:.3f}  of {count:.0f}")


def main() -> None:
    """Read the logs named on the command line and print the account."""
    parser = argparse.ArgumentParser(
        prog="bin/lost-credit",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("logs", nargs="+", type=pathlib.Path, metavar="LOG")
    parser.add_argument("--window", type=float, default=2.0, metavar="SECONDS")
    args = parser.parse_args()
    if not args.window > 0:
        parser.error("--window must be above 0")
    ends: list[Ended] = []
    for path in args.logs:
        try:
            with path.open(errors="replace") as lines:
                ends += read_ends(lines)
        except OSError as error:
            print(f"bin/lost-credit: {error}", file=sys.stderr)
            sys.exit(2)
    print_account(make_account(ends, args.window))


if __name__ == "__main__":
    main()
