"""Messages between VMs about shared limits, and their form in JSON.

Unknown fields are ignored, so that later releases may add some.
"""

import math
from dataclasses import dataclass
from typing import Any

import expression
import orjson

from trefoilpier.shares import spec

_FORMAT = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class Ask:
    """A VM's request for tokens of one limit.

    Attributes:
        name: Name of the limit.
        spec: The limit as the VM knows it.
        urgent: Tokens for callers' requests that wait.
        ahead: Tokens for the time until the next exchange.
        demand: Demand in requests a second.
        returned: Tokens given back.
    """

    name: str
    spec: spec.LimitSpec
    urgent: int
    ahead: int
    demand: float
    returned: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Grant:
    """Answer to an `Ask`.

    Attributes:
        tokens: Tokens given.
        wait_s: Seconds until the owner expects to have another one.
        share: The VM's share of the limit in requests a second.
    """

    tokens: int
    wait_s: float
    share: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareRequest:
    """A request of one VM to another.

    Attributes:
        sender: Name of the VM that asks.
        run: Start of its process; higher for a later one.
        number: Number of the request within the process and to this VM.
        seen: Number of the last request whose answer arrived in time.
        digest: Hash of the candidates that the sender regards as owners.
        unreachable: VMs that the sender cannot reach.
        asks: Limits for which tokens are asked; may be empty.
    """

    sender: str
    run: int
    number: int
    seen: int
    digest: str
    unreachable: tuple[str, ...] = ()
    asks: tuple[Ask, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class PeriodReport:
    """A period of a vote, with times relative to the answer.

    Attributes:
        vm_ids: The candidates; None if they are those of the request's digest.
        age_s: Seconds since the start of the period.
        promised_s: Seconds until its votes end; negative if they have ended.
    """

    vm_ids: tuple[str, ...] | None
    age_s: float
    promised_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareAnswer:
    """Answer to a `ShareRequest`.

    Attributes:
        sender: Name of the VM that answers.
        periods: Its vote, the newest period last.
        grants: An answer to each ask; None if the VM may not grant the limit.
        leaving: Whether the VM is shutting down.
        new: Whether its process has started lately and has neither given nor
            got tokens.
    """

    sender: str
    periods: tuple[PeriodReport, ...]
    grants: tuple[Grant | None, ...]
    leaving: bool = False
    new: bool = False


def encode_request(request: ShareRequest) -> bytes:
    """Encode a request; limits of equal size share one row."""
    index_by_spec: dict[spec.LimitSpec, int] = {}
    rows = []
    for ask in request.asks:
        index = index_by_spec.setdefault(ask.spec, len(index_by_spec))
        rows.append(
            (
                ask.name,
                index,
                ask.urgent,
                ask.ahead,
                round(ask.demand, 2),
                ask.returned,
            )
        )
    document = {
        "format": _FORMAT,
        "from": request.sender,
        "run": request.run,
        "number": request.number,
        "seen": request.seen,
        "digest": request.digest,
    }
    if request.unreachable:
        document["unreachable"] = request.unreachable
    if rows:
        document["asks"] = rows
        document["limits"] = [
            (each.rate, each.burst, each.window_s, each.excess, each.slack)
            for each in index_by_spec
        ]
    return orjson.dumps(document)


def decode_request(data: bytes) -> expression.Result[ShareRequest, str]:
    """Decode a request; the error describes what is invalid.

    >>> decode_request(b"[]").error
    'not a JSON object'
    """
    try:
        row = _object(data)
        specs = [_decode_spec(each) for each in row.get("limits", ())]
        asks = [
            Ask(
                name=_text(name),
                spec=specs[index],
                urgent=_count(urgent),
                ahead=_count(ahead),
                demand=_amount(demand),
                returned=_count(returned),
            )
            for name, index, urgent, ahead, demand, returned in row.get(
                "asks", ()
            )
        ]
        return expression.Ok(
            ShareRequest(
                sender=_text(row["from"]),
                run=_count(row["run"]),
                number=_count(row["number"]),
                seen=_count(row["seen"]),
                digest=_text(row["digest"]),
                unreachable=tuple(
                    _text(each) for each in row.get("unreachable", ())
                ),
                asks=tuple(asks),
            )
        )
    except (ValueError, KeyError, TypeError, IndexError) as error:
        return expression.Error(_describe(error))


def encode_answer(answer: ShareAnswer) -> bytes:
    """Encode an answer."""
    document: dict[str, Any] = {
        "format": _FORMAT,
        "from": answer.sender,
        "periods": [
            (each.vm_ids, round(each.age_s, 4), round(each.promised_s, 4))
            for each in answer.periods
        ],
    }
    if answer.grants:
        document["grants"] = [
            grant
            and (grant.tokens, round(grant.wait_s, 3), round(grant.share, 3))
            for grant in answer.grants
        ]
    if answer.leaving:
        document["leaving"] = True
    if answer.new:
        document["new"] = True
    return orjson.dumps(document)


def decode_answer(data: bytes) -> expression.Result[ShareAnswer, str]:
    """Decode an answer; the error describes what is invalid."""
    try:
        row = _object(data)
        periods = [
            PeriodReport(
                vm_ids=None
                if vm_ids is None
                else tuple(_text(each) for each in vm_ids),
                age_s=_number(age_s),
                promised_s=_number(promised_s),
            )
            for vm_ids, age_s, promised_s in row["periods"]
        ]
        grants = [
            None
            if each is None
            else Grant(
                tokens=_count(each[0]),
                wait_s=_amount(each[1]),
                share=_amount(each[2]),
            )
            for each in row.get("grants", ())
        ]
        return expression.Ok(
            ShareAnswer(
                sender=_text(row["from"]),
                periods=tuple(periods),
                grants=tuple(grants),
                leaving=bool(row.get("leaving", False)),
                new=bool(row.get("new", False)),
            )
        )
    except (ValueError, KeyError, TypeError, IndexError) as error:
        return expression.Error(_describe(error))


def _describe(error: Exception) -> str:
    if isinstance(error, KeyError):
        return f"{error.args[0]} is missing"
    return str(error)


def _object(data: bytes) -> dict[str, Any]:
    row = orjson.loads(data)
    if not isinstance(row, dict):
        raise TypeError("not a JSON object")
    return row


def _decode_spec(row: Any) -> spec.LimitSpec:
    rate, burst, window_s, excess, slack = map(_amount, row)
    if not window_s:
        raise ValueError("window of a limit is empty")
    return spec.LimitSpec(
        rate=rate, burst=burst, window_s=window_s, excess=excess, slack=slack
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a text: {value!r}")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"not a number: {value!r}")
    return float(value)


def _amount(value: Any) -> float:
    number = _number(value)
    if number < 0 or not math.isfinite(number):
        raise ValueError(f"not an amount: {value!r}")
    return number


def _count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"not a count: {value!r}")
    return value
