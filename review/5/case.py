"""A leaf that has gone is used beyond drain-ms while an old index leaves."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

ZONES = ("ub-sukhbaatar", "ub-khanuul", "ub-bayangol", "ub-chingeltei")
OLD = [f"stylist-desk-{k}" for k in range(15)]
NEW = [f"storefront-{k}" for k in range(10)]
RATE = 80.0  # Requests a second; the table of the site has 112.
DRAIN_S = 3.0  # drain-ms
WAVE_S = 2.0  # Between the two times at which old leafs leave.


async def main(folder, record, trouble, machines) -> int:
    """Play the case; return its verdict."""
    port = s.free_port()
    store = s.Store()
    await s.serve(f"{s.NET}.0.1", port, store.handle)
    asyncio.ensure_future(store.expire_leases())
    leaves = []
    for service, count in [("reservations", 8), ("laundry-track", 4)] + [
        (name, 3) for name in OLD + NEW
    ]:
        for _ in range(count):
            k = len(leaves)
            leaf = s.Leaf(
                leaf_id=f"i-{k}",
                service=service,
                host=f"{s.NET}.2.{k + 1}",
                port=port,
                zone=ZONES[k % 4],
                slots=2,
                work_s=lambda request: random.uniform(0.05, 0.13),
                record=record,
            )
            leaves.append(leaf)
            await leaf.start(store)

    async def configure(version: int, shards: list[str]) -> None:
        """Write a version."""
        routes = [
            s.route("booking", "/b/", service="reservations", type="unsafe"),
            s.gather_route("browse", "/c/", shards, **{"timeout-ms": 1000}),
        ]
        services = ["reservations", "laundry-track", *OLD, *NEW]
        await store.put("op/config", s.config(version, routes, services))
        record(f"CONFIG {version}: {len(shards)} shards")

    await configure(3, OLD)
    for k, zone in enumerate(ZONES):
        machines.append(
            s.Machine(
                name=f"frontend-{zone}-1",
                zone=zone,
                host=f"{s.NET}.1.{k + 1}",
                port=port,
                store=f"{s.NET}.0.1:{port}",
                folder=folder,
                record=record,
                settings={},
            )
        )
    for machine in machines:
        await machine.start()
        asyncio.ensure_future(machine.keep())
    for _ in range(100):
        if all([await machine.ask_ready() for machine in machines]):
            break
        await asyncio.sleep(0.2)
    else:
        print("machines are not ready")
        return 2
    await asyncio.sleep(3.0)

    answers: list[s.Answer] = []
    tasks = []

    async def one(number: int) -> None:
        answers.append(
            await s.ask(
                random.choice(machines),
                request_id=f"r{number:05d}",
                path=f"/b/{number}",
                method="POST",
                body=b"x" * 100,
                deadline_ms=4000,
                record=record,
            )
        )

    async def traffic() -> None:
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.ensure_future(one(number)))
            await asyncio.sleep(random.expovariate(RATE))

    sending = asyncio.ensure_future(traffic())
    await asyncio.sleep(2.0)
    old = [leaf for leaf in leaves if leaf.service in OLD]

    async def leave(leaving: list[s.Leaf]) -> None:
        """Remove the entries of old leafs, which have left."""
        for leaf in leaving:
            await store.delete(f"servers/{leaf.id}")
        record(f"STORE  {len(leaving)} old leafs have left")

    if trouble:
        # The index is cut into another set of shards. Once the version is due
        # everywhere, the old leafs drain; after drain-ms and a little longer
        # they leave, 22 of the 45 first, the others two seconds later.
        await configure(5, NEW)
        await asyncio.sleep(3.5)
        for leaf in old:
            await leaf.register(store, "draining")
        record(f"STORE  {len(old)} old leafs are draining")
        await asyncio.sleep(DRAIN_S + 1.0)
        await leave(old[:22])
    await asyncio.sleep(0.2)
    # One of eight leafs of another service leaves without `draining`: its
    # entry is removed, and it serves on for a while.
    gone = leaves[0]
    await store.delete(f"servers/{gone.id}")
    gone_at = s.now()
    record(f"STORE  entry of {gone.id} ({gone.service}) removed: it has gone")
    await asyncio.sleep(WAVE_S - 0.2)
    if trouble:
        await leave(old[22:])
    await asyncio.sleep(gone_at + DRAIN_S + 3.0 - s.now())
    sending.cancel()
    await asyncio.gather(*tasks)

    sent_at = {answer.request_id: answer.sent_at for answer in answers}
    late = [
        (at, request_id)
        for at, request_id in gone.runs
        if at > gone_at + DRAIN_S
    ]
    for at, request_id in late:
        record(
            f"DRAIN  {request_id} reached {gone.id} {at - gone_at:.2f} s after "
            f"its entry was removed; sent {sent_at[request_id] - gone_at:.2f} s"
            " after it",
            at,
        )
    served = sum(answer.status == 200 for answer in answers)
    last = max((at for at, _ in gone.runs), default=gone_at) - gone_at
    print(
        f"{len(answers)} requests, {served} served; the leaf that has gone got "
        f"its last one after {last:.2f} s; DRAIN {len(late)}"
    )
    if served < 0.5 * len(answers):
        return 2
    return 1 if late else 0


s.run_case(main)
