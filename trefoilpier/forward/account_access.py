"""Access of callers' requests by the keys of client accounts."""

from collections.abc import Callable

from trefoilpier import accounts, base, http1, routes
from trefoilpier.forward import admission, responses
from trefoilpier.forward import wire as wires


def decide(
    *,
    table: routes.RouteTable,
    route: routes.Route,
    wire: wires.LeafWire,
    request: http1.HttpRequest,
    is_confirmed: Callable[[], bool],
) -> accounts.Access | None:
    """Decide whether a request is allowed.

    Args:
        table: Routes and accounts in force.
        route: Route of the request.
        wire: Reads the key.
        request: The request.
        is_confirmed: Returns whether the accounts are known to be current.

    Returns:
        The decision, or None if accounts are not used.
    """
    if table.account_table is None:
        return None
    return accounts.decide_access(
        table=table.account_table,
        key=wire.read_key(request),
        anonymous=route.anonymous,
        confirmed=is_confirmed(),
    )


def identity_account(
    access: accounts.Access | None, metadata: wires.RequestMetadata
) -> bytes:
    """Return what identifies the caller in the fingerprint of a request.

    An account may have several keys, and a request that crashes leaves does so
    with each of them.
    """
    if access is None:
        return metadata.account
    return access.account.name.encode() if access.account else b""


def make_refusal(
    refusal: accounts.AccessRefusal, time_left_s: float
) -> tuple[base.ResultCode, http1.HttpResponse, dict]:
    """Return code, response and log fields of a request that is not allowed.

    Args:
        refusal: Why it is not allowed.
        time_left_s: Seconds until the caller's deadline.
    """
    if refusal is accounts.AccessRefusal.UNKNOWN_KEY:
        return (
            base.ResultCode.UNKNOWN_KEY,
            responses.make_unknown_key_refusal(),
            {},
        )
    retry_after_s = admission.retry_after(time_left_s)
    return (
        base.ResultCode.ACCOUNTS_NOT_CONFIRMED,
        responses.make_refusal(retry_after_s),
        {"retry_after_s": retry_after_s},
    )
