"""SIGTERM: requests taken late in the grace period are cut off at its end."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

RATE = 100.0  # Requests a second; the site's table has 112.5.
TRAFFIC_S = 14.0
GRACE_S = 6.0


def work_s(request: s.Request) -> float:
    """Work of archive-fetch: 220 ms in the mean, 1,300 ms at most."""
    return min(1.3, random.lognormvariate(-1.63, 0.5))


async def main(folder, record, trouble, machines) -> int:
    """Play the case; return its verdict."""
    port = s.free_port()
    store = s.Store()
    await s.serve(f"{s.NET}.0.1", port, store.handle)
    asyncio.ensure_future(store.expire_leases())
    leaves = []
    for k in range(20):
        leaf = s.Leaf(
            leaf_id=f"i-{k}",
            service="records-room",
            host=f"{s.NET}.2.{k + 1}",
            port=port,
            zone="hn-hoankiem",
            slots=2,
            work_s=work_s,
            record=record,
        )
        leaves.append(leaf)
        await leaf.start(store)
    await store.put(
        "op/config",
        s.config(
            7,
            [
                s.route(
                    "archive-fetch",
                    "/a/",
                    service="records-room",
                    type="unsafe",
                )
            ],
            ["records-room"],
        ),
    )
    for k in range(3):
        machines.append(
            s.Machine(
                name=f"frontend-hn-hoankiem-{k + 1}",
                zone="hn-hoankiem",
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
    await asyncio.sleep(2.0)
    balancer = s.Balancer(machines, record)
    asyncio.ensure_future(balancer.run())
    await asyncio.sleep(1.0)

    answers: list[s.Answer] = []
    terms: list[tuple[s.Machine, float]] = []

    async def one(number: int) -> None:
        answers.append(
            await s.ask(
                balancer.choose(),
                request_id=f"r{number:05d}",
                path=f"/a/{number}",
                method="POST",
                body=b"x" * 300,
                record=record,
            )
        )

    async def roll() -> None:
        """Stop two machines in turn, one second apart; they start again."""
        await asyncio.sleep(3.0)
        for machine in machines[:2]:
            terms.append((machine, s.now()))
            asyncio.ensure_future(machine.terminate(GRACE_S))
            await asyncio.sleep(1.0)

    if trouble:
        asyncio.ensure_future(roll())
    tasks = []
    end = s.now() + TRAFFIC_S
    number = 0
    while s.now() < end:
        number += 1
        tasks.append(asyncio.ensure_future(one(number)))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.gather(*tasks)

    ran = {request_id for leaf in leaves for _, request_id in leaf.runs}
    lost = []
    for answer in answers:
        if answer.status or answer.request_id not in ran:
            continue
        if not answer.problem.startswith("connection ended"):
            continue
        at = [
            t for m, t in terms if m is answer.machine and t <= answer.ended_at
        ]
        # Planned work: from the SIGTERM until 1 s after the grace period.
        if not at or answer.ended_at > at[-1] + GRACE_S + 1.0:
            continue
        since = answer.sent_at - at[-1]
        # Excused: sent no later than 3 s after the SIGTERM.
        if since <= 3.0 or answer.ended_at - answer.sent_at >= 4.9:
            continue
        lost.append(answer)
        record(
            f"LOST   {answer.request_id}: sent {since:.2f} s after SIGTERM to "
            f"{answer.machine.name}, passed on to a leaf, connection ended "
            f"{answer.ended_at - at[-1]:.2f} s after it without an answer"
        )
    count: dict[str, int] = {}
    for answer in answers:
        what = str(answer.status or answer.problem)
        count[what] = count.get(what, 0) + 1
    print(f"{len(answers)} requests: {count}; LOST {len(lost)}")
    if count.get("200", 0) < 0.5 * len(answers):
        return 2
    return 1 if lost else 0


s.run_case(main)
