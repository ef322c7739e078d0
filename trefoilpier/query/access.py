"""Access of callers' requests by the keys of client accounts."""

import expression

from trefoilpier import base, config
from trefoilpier.query import outcome


def find_account(
    current: config.ConfigSet,
    service: config.Service,
    request: outcome.Request,
) -> expression.Result[str, base.Failure]:
    """Return the account of a request, or why it is refused.

    It answers callers without a key, and with one that has been withdrawn.

    Args:
        current: The configuration in force.
        service: The service of the request.
        request: The request.

    Returns:
        The name of the account; empty if the request needs none.
    """
    if current.account_by_key_digest is None:
        return expression.Ok("")
    name = current.account_by_key_digest.get(request.account_key_digest)
    if name is not None:
        return expression.Ok(name)
    if service.anonymous:
        return expression.Ok("")
    return expression.Error(
        base.Failure(
            code=base.ResultCode.UNKNOWN_KEY,
            detail="the service needs the key of a client account",
        )
    )
