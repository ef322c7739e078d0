"""A leaf that has left is used again and again after a store's silence."""

import asyncio
import contextlib
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as standins

_SILENCE_MAX_S = 9.0  # As in the site file.
_WATCH_AGE_S = 3.7  # Of the VM's watch when the silence begins.
_READS_DROPPED = 4
_SERVES_ON_S = 24.0  # "at times many seconds" after the store's acknowledgement


async def case(record, prefix, folder):
    """Run three VMs; the store gives one of them no response for a while."""
    store = standins.Store()
    expiry = asyncio.create_task(store.expire_leases())
    leaves = [standins.Leaf(f"i-{k}", "records") for k in range(3)]
    for k, leaf in enumerate(leaves):
        await leaf.start(f"{prefix}.{100 + k}")
        store.put_json(f"servers/{leaf.id}", leaf.entry())
    store.put_json(
        "op/config",
        standins.routes(
            7, fetch=("records", "safe"), book=("records", "unsafe")
        ),
    )
    vms, paths = [], []
    for k in range(3):
        path = standins.Path(store)
        server = await asyncio.start_server(path.serve, f"{prefix}.{50 + k}", 0)
        port = server.sockets[0].getsockname()[1]
        paths.append(path)
        host = f"{prefix}.{k + 1}"
        vms.append(
            standins.Vm(
                f"vm-{k + 1}",
                host,
                f"{prefix}.{50 + k}:{port}",
                folder,
                standins.free_block(host),
            )
        )
    try:
        for vm in vms:
            await vm.start()
        for vm in vms:
            await vm.wait_ready()
        await asyncio.sleep(3.0)
        return await _play(record, store, leaves, vms[0], paths[0])
    finally:
        expiry.cancel()
        for vm in vms:
            await vm.stop()


async def _play(record, store, leaves, vm, path):
    callers = [asyncio.create_task(_call(record, vm, k)) for k in range(8)]
    in_touch_at = time.monotonic()
    leaving = leaves[0]
    path.on_dropped = lambda line: record.add(f"no response to: {line}")
    await _sleep_until(lambda: time.monotonic() - path.watch_at >= _WATCH_AGE_S)
    if standins.TROUBLE:
        record.add("the store gives vm-1 no response from now on")
        path.silent = True
    silent_at = time.monotonic()
    await asyncio.sleep(1.0)
    gone_at = store.delete(f"servers/{leaving.id}")
    record.add(f"the store removes the entry of {leaving.id}")
    if standins.TROUBLE:
        await _sleep_until(
            lambda: (
                time.monotonic() - silent_at > _SILENCE_MAX_S
                or path.reads_dropped >= _READS_DROPPED
                and time.monotonic() - path.dropped_at > 0.2
            )
        )
        path.silent = False
        in_touch_at = time.monotonic() + standins.CONTACT_S
        silence_s = time.monotonic() - silent_at
        record.add(f"the store serves vm-1 again, after {silence_s:.2f} s")
    await asyncio.sleep(max(0.0, gone_at + _SERVES_ON_S - time.monotonic()))
    leaving.end()
    record.add(f"{leaving.id} exits")
    await asyncio.sleep(1.0)
    for caller in callers:
        caller.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await caller
    bound = max(gone_at + standins.DRAIN_S, in_touch_at)
    arrivals = [each for each in leaving.arrivals if each[0] > gone_at]
    record.add(
        f"{leaving.id} got {len(arrivals)} requests after the removal, last "
        f"{max((each[0] for each in arrivals), default=gone_at) - gone_at:.2f} "
        f"s after it; bound {bound - gone_at:.2f} s"
    )
    return [
        f"{method} {target} {request_id} reached {leaving.id} "
        f"{at - gone_at:.3f} s after its entry was removed and "
        f"{at - in_touch_at:.3f} s after vm-1 was in touch again"
        for at, request_id, method, target in arrivals
        if at > bound
    ]


async def _sleep_until(is_true):
    while not is_true():
        await asyncio.sleep(0.02)


async def _call(record, vm, number):
    """Send requests one after the other."""
    count = 0
    while True:
        count += 1
        unsafe = count % 4 == 0
        method, route = ("POST", "book") if unsafe else ("GET", "fetch")
        request_id = f"c{number}-{count}"
        status, headers, _ = await standins.send(
            vm,
            method,
            f"/{route}/{number}/{count}",
            request_id=request_id,
            deadline_ms=3000,
            host="shop.example",
            body=b"x" if unsafe else b"",
        )
        seal = headers.get("x-server-seal", "")
        record.add(f"{request_id} {method} {route}: {status} {seal}")
        await asyncio.sleep(0.03)


if __name__ == "__main__":
    sys.exit(standins.run_case(case))
