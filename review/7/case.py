"""A request with an Upgrade header is followed by an answer to no request."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as standins

_CLIENTS = 20
_READ_TIMEOUT_S = 3.0
# As clients send it that would go on with HTTP/2 if the server offers it.
_UPGRADE = (
    "Connection: Upgrade, HTTP2-Settings\r\n"
    "Upgrade: h2c\r\n"
    "HTTP2-Settings: AAMAAABkAAQAAP__\r\n"
)


async def case(record, prefix, folder):
    """Send a search and then a booking on each of some kept connections."""
    store = standins.Store()
    expiry = asyncio.create_task(store.expire_leases())
    leaves = await standins.start_leaves(record, store, prefix, "records", 3)
    store.put_json(
        "op/config",
        standins.routes(
            7, fetch=("records", "safe"), book=("records", "unsafe")
        ),
    )
    vms, _ = await standins.start_vms(store, prefix, folder, 1)
    try:
        await asyncio.sleep(1.0)
        broken = []
        for k in range(_CLIENTS):
            broken += await _visit(record, vms[0], leaves, k)
        return broken
    finally:
        expiry.cancel()
        await standins.stop_vms(vms)


async def _visit(record, vm, leaves, number):
    """Send a search, read its answer, then send a booking and read on."""
    reader, writer = await asyncio.open_connection(vm.host, vm.caller_port)
    search, booking = f"s{number}", f"b{number}"
    upgrade = _UPGRADE if standins.TROUBLE else ""
    writer.write(_head("GET", f"/fetch/{number}", search, upgrade))
    first = await _read(reader)
    record.add(f"{search} GET /fetch/{number}: {_describe(first)}")
    kept = first is not None and first[1].get("connection") != "close"
    if not kept:
        writer.close()
        return []
    # The connection is kept: no answer said that it closes.
    writer.write(
        _head("POST", f"/book/{number}", booking, "Content-Length: 1\r\n")
        + b"x"
    )
    second = await _read(reader)
    record.add(f"{booking} POST /book/{number}: {_describe(second)}")
    writer.close()
    await asyncio.sleep(0.1)
    ran = any(booking in leaf.runs for leaf in leaves)
    reached = any(
        booking == request_id
        for leaf in leaves
        for _, request_id, _, _ in leaf.arrivals
    )
    record.add(f"{booking} reached a leaf: {reached}, ran: {ran}")
    if second is not None and not reached and second[0].split(" ")[1] == "400":
        return [
            f"{booking} got 400, the answer to {search}'s Upgrade header, "
            "and reached no leaf"
        ]
    return []


def _head(method, target, request_id, more):
    return (
        f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 2000\r\n{more}\r\n"
    ).encode()


async def _read(reader):
    try:
        return await asyncio.wait_for(
            standins.read_message(reader), _READ_TIMEOUT_S
        )
    except TimeoutError:
        return None


def _describe(message):
    if message is None:
        return "no answer"
    line, headers, body = message
    connection = headers.get("connection", "kept")
    return (
        f"{line}, id {headers.get('x-request-id', 'none')}, "
        f"seal {headers.get('x-server-seal', 'none')}, {len(body)} bytes, "
        f"connection {connection}"
    )


if __name__ == "__main__":
    sys.exit(standins.run_case(case))
