"""Configurations in quick succession: a route is never answered again."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

ZONES = ("hn-hoankiem", "hn-caugiay", "hn-longbien")
CLIENTS = 9  # Of the gathered route, at each machine; one request at a time.
PROPAGATION_S = 3.0
GAP_S = 0.1  # Between the configurations of a storm.
BUSY_S = 4.0
STEADY_S = 15.0
OLD = [f"quote-maker-{k}" for k in range(25)]
NEW = [f"planner-desk-{k}" for k in range(10)]


def work_of(service: str):
    """Return the work of a service's leafs: shards differ in size."""
    mean_s = 0.085 + 0.0012 * (OLD.index(service) if service in OLD else 0)
    return lambda request: mean_s * random.uniform(0.8, 1.2)


async def main(folder, record, trouble, machines) -> int:
    """Play the case; return its verdict."""
    port = s.free_port()
    store = s.Store()
    await s.serve(f"{s.NET}.0.1", port, store.handle)
    asyncio.ensure_future(store.expire_leases())
    leaves = []
    for service, count in [("records-room", 6)] + [
        (name, 3) for name in OLD + NEW
    ]:
        for _ in range(count):
            k = len(leaves)
            leaf = s.Leaf(
                leaf_id=f"i-{k}",
                service=service,
                host=f"{s.NET}.2.{k + 1}",
                port=port,
                zone=ZONES[k % 3],
                slots=2,
                work_s=work_of(service),
                record=record,
            )
            leaves.append(leaf)
            await leaf.start(store)

    async def configure(
        version: int, shards: list[str] | None, timeout_ms: int = 1200
    ) -> None:
        """Write a version; the later route is gathered over some shards."""
        routes = [s.route("first", "/first/", service="records-room")]
        if shards is not None:
            routes.append(
                s.gather_route(
                    "later", "/later/", shards, **{"timeout-ms": timeout_ms}
                )
            )
        await store.put(
            "op/config", s.config(version, routes, ["records-room", *OLD, *NEW])
        )
        what = shards[0].rpartition("-")[0] if shards else "none"
        record(f"CONFIG {version}: later route over {what}, {timeout_ms} ms")

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
    await configure(4, OLD)
    await asyncio.sleep(PROPAGATION_S + 1.0)

    answers: list[tuple[str, s.Answer]] = []
    number = 0

    async def one(machine: s.Machine, name: str, deadline_ms: int) -> s.Answer:
        nonlocal number
        number += 1
        answer = await s.ask(
            machine,
            request_id=f"{name}{number:05d}",
            path=f"/{name}/{number}",
            deadline_ms=deadline_ms,
            record=record,
        )
        answers.append((name, answer))
        return answer

    # Many users at once: each machine has some clients that send their next
    # request when they have the answer.
    async def client(machine: s.Machine, end: float) -> None:
        while s.now() < end:
            answer = await one(machine, "later", 1200)
            if answer.status != 200:
                wait = answer.header("retry-after")
                await asyncio.sleep(float(wait) if wait else 0.3)

    end = s.now() + BUSY_S
    busy = [
        asyncio.ensure_future(client(machine, end))
        for machine in machines
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(BUSY_S / 2)
    # Configurations come in quick succession: the route's time-out changes, it
    # moves to the other shards, and its time-out changes again. Without the
    # disruption there are two seconds between them.
    gap_s = GAP_S if trouble else 2.0
    await configure(5, OLD, 1190)
    await asyncio.sleep(gap_s)
    await configure(6, NEW, 1190)
    await asyncio.sleep(gap_s)
    await configure(7, NEW, 1200)
    await asyncio.gather(*busy)
    await asyncio.sleep(3.0)
    # The route moves back.
    await configure(9, OLD)
    await asyncio.sleep(PROPAGATION_S + 4.0)

    # Steady state.
    answers.clear()
    steady_from = s.now()
    record("STEADY state begins")
    tasks = []
    while s.now() < steady_from + STEADY_S:
        for machine in machines:
            for name in ("first", "later"):
                tasks.append(asyncio.ensure_future(one(machine, name, 1200)))
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
        print(f"{name} route: {len(mine)} requests, {served} served; {count}")
        record(f"RESULT {name}: {len(mine)} requests, {served} served")
    for machine in machines:
        mine = [a for n, a in answers if n == "later" and a.machine is machine]
        served = sum(a.status == 200 for a in mine)
        print(f"{machine.name}: later route {served} of {len(mine)} served")
    if share["first"] < 0.9:
        return 2
    # CONFIG, steady state: routes that were added later.
    return 1 if share["later"] < 0.25 * share["first"] else 0


s.run_case(main)
