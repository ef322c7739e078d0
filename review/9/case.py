"""A draining leaf is used while the watch of one VM gets no response."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as standins

_SILENCE_S = 0.5
_SERVES_ON_S = 7.0  # After the store's acknowledgement.


async def case(record, prefix, folder):
    """Run three VMs; the store gives one of them no response for a moment."""
    store = standins.Store()
    expiry = asyncio.create_task(store.expire_leases())
    leaves = await standins.start_leaves(store, prefix, "records", 3)
    store.put_json(
        "op/config",
        standins.routes(
            7, fetch=("records", "safe"), book=("records", "unsafe")
        ),
    )
    vms, paths = await standins.start_vms(store, prefix, folder, 3)
    try:
        await asyncio.sleep(3.0)
        return await _play(record, store, leaves, vms[0], paths[0])
    finally:
        expiry.cancel()
        await standins.stop_vms(vms)


async def _play(record, store, leaves, vm, path):
    callers = [
        asyncio.create_task(standins.keep_calling(record, vm, k))
        for k in range(8)
    ]
    path.on_dropped = lambda line: record.add(f"no response to: {line}")
    await asyncio.sleep(2.0)
    entry = {**leaves[2].entry(), "warmup-left-ms": 900}
    store.put_json(f"servers/{leaves[2].id}", entry)
    record.add(f"the entry of {leaves[2].id} changes")
    await asyncio.sleep(0.2)
    in_touch_at = time.monotonic()
    if standins.TROUBLE:
        record.add("the store gives vm-1 no response from now on")
        path.silent = True
    await asyncio.sleep(_SILENCE_S)
    if standins.TROUBLE:
        path.silent = False
        in_touch_at = time.monotonic() + standins.CONTACT_S
        record.add("the store serves vm-1 again")
    await asyncio.sleep(0.5)
    leaving = leaves[0]
    left_at = store.put_json(f"servers/{leaving.id}", leaving.entry("draining"))
    record.add(f"{leaving.id} reports that it is draining")
    await asyncio.sleep(max(0.0, left_at + _SERVES_ON_S - time.monotonic()))
    leaving.end()
    record.add(f"{leaving.id} exits")
    await asyncio.sleep(1.0)
    await standins.end_tasks(callers)
    return standins.list_late_arrivals(record, leaving, left_at, in_touch_at)


if __name__ == "__main__":
    sys.exit(standins.run_case(case))
