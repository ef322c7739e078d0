"""All machines forget an evacuation that they read together with a config."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

ZONES = ("ub-sukhbaatar", "ub-khanuul", "ub-bayangol", "ub-chingeltei")
EVACUATED = "ub-khanuul"
RATE = 40.0  # Requests a second.
EVACUATE_S = 5.0  # evacuate-ms
CONTACT_S = 5.0  # contact-ms
SKEW_S = 15.0  # skew-max-ms, by which an unstable core stretches the bound
OBSERVED_S = 10.0


async def main(folder, record, trouble, machines) -> int:
    """Play the case; return its verdict."""
    port = s.free_port()
    store = s.Store()
    await s.serve(f"{s.NET}.0.1", port, store.handle)
    asyncio.ensure_future(store.expire_leases())
    leaves = []
    for k in range(8):
        leaf = s.Leaf(
            leaf_id=f"i-{k}",
            service="reservations",
            host=f"{s.NET}.2.{k + 1}",
            port=port,
            zone=ZONES[k % 4],
            slots=4,
            work_s=lambda request: random.uniform(0.05, 0.11),
            record=record,
        )
        leaves.append(leaf)
        await leaf.start(store)

    async def configure(version: int, timeout_ms: int) -> None:
        route = s.route(
            "booking-lookup",
            "/b/",
            service="reservations",
            type="unsafe",
            **{"timeout-ms": timeout_ms},
        )
        await store.put(
            "op/config", s.config(version, [route], ["reservations"])
        )
        record(f"CONFIG {version} acknowledged")

    async def evacuate() -> float:
        await store.put(f"op/evacuate/{EVACUATED}", b"{}")
        record(f"EVACUATE {EVACUATED} acknowledged")
        return s.now()

    await configure(7, 2561)
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
                settings={
                    "bounds.cold-excess": 1.5,
                    "bounds.cold-slack": 5,
                    "bounds.evacuate-ms": 5000,
                    "bounds.contact-ms": 5000,
                    "bounds.ack-ms": 8000,
                    "bounds.drain-ms": 5000,
                    "bounds.propagation-ms": 5000,
                    "bounds.skew-max-ms": 15000,
                    "region": "ulaanbaatar",
                },
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

    async def traffic() -> None:
        number = 0
        while True:
            number += 1
            machine = machines[number % 4]
            tasks.append(asyncio.ensure_future(one(machine, number)))
            await asyncio.sleep(random.expovariate(RATE))

    async def one(machine: s.Machine, number: int) -> None:
        answers.append(
            await s.ask(
                machine,
                request_id=f"r{number:05d}",
                path=f"/b/{number}",
                deadline_ms=2561,
                method="POST",
                body=b"x" * 100,
                record=record,
            )
        )

    sending = asyncio.ensure_future(traffic())
    # An evacuation that works, and is taken back.
    await evacuate()
    await asyncio.sleep(4.0)
    await store.delete(f"op/evacuate/{EVACUATED}")
    record(f"TAKEN BACK {EVACUATED}")
    await asyncio.sleep(4.0)
    # The platform's store forgets its history: its watches hear nothing for a
    # second while changes are made, then the history is dropped and they are
    # cut. The changes: one configuration and one evacuation.
    if trouble:
        store.deaf = True
        record("STORE  watches hear nothing")
    await asyncio.sleep(0.3)
    await configure(9, 2400)
    evacuated_at = await evacuate()
    await asyncio.sleep(0.7)
    if trouble:
        await store.compact()
        store.deaf = False
        record("STORE  history dropped, watches cut")
    judged_from = evacuated_at + EVACUATE_S + CONTACT_S + SKEW_S
    await asyncio.sleep(judged_from + OBSERVED_S - s.now())
    sending.cancel()
    await asyncio.gather(*tasks)

    sent_at = {answer.request_id: answer.sent_at for answer in answers}
    wrong = [
        (at, leaf.id, request_id)
        for leaf in leaves
        if leaf.zone == EVACUATED
        for at, request_id in leaf.runs
        if sent_at[request_id] > judged_from
    ]
    judged = sum(answer.sent_at > judged_from for answer in answers)
    served = sum(answer.status == 200 for answer in answers)
    for at, leaf_id, request_id in wrong:
        record(
            f"EVAC   {request_id} at {leaf_id} in {EVACUATED}, "
            f"{at - evacuated_at:.1f} s after its evacuation was acknowledged",
            at,
        )
    for machine in machines:
        mine = {a.request_id for a in answers if a.machine is machine}
        count = sum(request_id in mine for _, _, request_id in wrong)
        print(f"{machine.name}: {count} requests into the evacuated zone")
    print(
        f"{len(answers)} requests, {served} served; "
        f"of {judged} judged, EVAC {len(wrong)}"
    )
    if served < 0.5 * len(answers) or not judged:
        return 2
    return 1 if wrong else 0


s.run_case(main)
