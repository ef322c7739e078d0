"""Living leafs that register again are forgotten by all machines."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

ZONES = ("hn-hoankiem", "hn-caugiay", "hn-longbien")
SHARDS = [f"planner-desk-{k}" for k in range(10)]
BEAT_S = 1.2  # heartbeat-ms
OUTAGE_S = 2.45  # Two heartbeats.
PROPAGATION_S = 3.0
STEADY_S = 20.0


async def main(folder, record, trouble, machines) -> int:
    """Play the case; return its verdict."""
    port = s.free_port()
    store = s.Store()
    await s.serve(f"{s.NET}.0.1", port, store.handle)
    asyncio.ensure_future(store.expire_leases())
    asyncio.ensure_future(store.expire_entries(3 * BEAT_S, record))
    leaves = []
    for service, count in [("records-room", 6)] + [
        (name, 3) for name in SHARDS
    ]:
        for _ in range(count):
            k = len(leaves)
            leaf = s.Leaf(
                leaf_id=f"i-{k}",
                service=service,
                host=f"{s.NET}.2.{k + 1}",
                port=port,
                zone=ZONES[k % 3],
                slots=5,
                work_s=lambda request: random.uniform(0.02, 0.06),
                record=record,
            )
            leaves.append(leaf)
            await leaf.start(store)
            # "Approximately every heartbeat-ms": some a little sooner, some a
            # little later.
            interval_s = BEAT_S + (-0.05 if service == "records-room" else 0.01)
            asyncio.ensure_future(leaf.beat(store, interval_s))

    async def configure(version: int, timeout_ms: int | None) -> None:
        """Write a version; without a time-out, without the later route."""
        routes = [s.route("first", "/first/", service="records-room")]
        if timeout_ms is not None:
            routes.append(
                s.gather_route(
                    "later", "/later/", SHARDS, **{"timeout-ms": timeout_ms}
                )
            )
        await store.put(
            "op/config", s.config(version, routes, ["records-room", *SHARDS])
        )
        record(f"CONFIG {version}")

    await configure(3, None)
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
    # The gathered route is added.
    await configure(4, 1200)
    await asyncio.sleep(PROPAGATION_S + 1.0)

    answers: list[tuple[str, s.Answer]] = []
    number = 0

    async def one(machine: s.Machine, name: str) -> None:
        nonlocal number
        number += 1
        answer = await s.ask(
            machine,
            request_id=f"{name}{number:05d}",
            path=f"/{name}/{number}",
            deadline_ms=1200,
            record=record,
        )
        answers.append((name, answer))

    async def measure(seconds: float) -> dict[str, float]:
        """Send requests on both routes; return the shares served."""
        answers.clear()
        tasks = []
        end = s.now() + seconds
        while s.now() < end:
            for machine in machines:
                for name in ("first", "later"):
                    tasks.append(asyncio.ensure_future(one(machine, name)))
            await asyncio.sleep(0.5)
        await asyncio.gather(*tasks)
        share = {}
        for name in ("first", "later"):
            mine = [answer for each, answer in answers if each == name]
            served = sum(answer.status == 200 for answer in mine)
            share[name] = served / len(mine)
            count: dict[str, int] = {}
            for answer in mine:
                what = str(answer.status or answer.problem)
                count[what] = count.get(what, 0) + 1
            print(f"{name} route: {len(mine)} requests, {count}")
            record(f"RESULT {name}: {len(mine)} requests, {served} served")
        return share

    print("before:")
    before = await measure(3.0)
    await configure(5, 1190)
    await asyncio.sleep(0.8)
    # The platform's store is down, and back after two heartbeats. Leafs go on
    # writing every heartbeat; an entry is removed after three intervals of
    # silence, and the leaf writes it again with its next heartbeat.
    if trouble:
        store.silent = True
        record("STORE  down")
        await asyncio.sleep(OUTAGE_S)
        store.silent = False
        record("STORE  back")
    await asyncio.sleep(12.0)
    missing = [
        leaf.id for leaf in leaves if f"servers/{leaf.id}" not in store.items
    ]
    print(f"registered again: all but {len(missing)} leafs")
    print("steady state:")
    share = await measure(STEADY_S)
    if min(before.values()) < 0.9 or share["first"] < 0.9 or missing:
        return 2
    # CONFIG, steady state: routes that were added later.
    return 1 if share["later"] < 0.25 * share["first"] else 0


s.run_case(main)
