"""Shows the tier on the stand-ins of the users' platform."""

import pathlib
import random
import signal
import sys
import tempfile

from twisted.internet import defer, reactor

from standins import published, tier_world
from trefoilpier import base, http1

_SHARDS = 4
_VMS = 3
_START_S = 3.0  # Processes start and read the store within about one second.
_KILLED_S = 2.0  # The same, and the delay before a start.
_WAIT_MS = 1500


class _Demo:
    """A few requests, with a VM and a shard that fail between them."""

    def __init__(self, *, world: tier_world.World) -> None:
        self._world = world
        self._clock = base.ReactorClock(reactor=reactor)
        self._count = 0
        self.good = True

    async def run(self) -> None:
        """Runs the requests."""
        world = self._world
        world.start()
        await _sleep(_START_S)
        print("A query over 4 shards, a read and a write at each VM:")
        for vm in world.vms:
            for path, method in (("/g/", b"GET"), ("/r/", b"GET")):
                await self._ask(vm, path, method, expect=200)
            await self._ask(vm, "/w/", b"POST", expect=200)
        print("All leafs of one shard pause; the answer says what is missing:")
        for each in world.live_leafs:
            if each.service == world.sets[-1][0]:
                each.leaf.faults.paused = True
        await self._ask(world.vms[0], "/g/", b"GET", expect=200, missing=1)
        for each in world.live_leafs:
            each.leaf.resume()
        print("A VM is killed and comes back; a new set of shards is named:")
        world.vms[1].send_signal(signal.SIGKILL)
        world.reshard()
        await _sleep(_KILLED_S)
        await self._ask(world.vms[1], "/g/", b"GET", expect=200)
        await self._ask(world.vms[0], "/none/", b"GET", expect=404)

    async def _ask(
        self,
        vm: tier_world.Vm,
        path: str,
        method: bytes,
        *,
        expect: int,
        missing: int = 0,
    ) -> None:
        self._count += 1
        asker = http1.Asker(
            reactor=reactor,
            clock=self._clock,
            host=vm.ports.host,
            port=vm.ports.callers,
        )
        started = self._clock.monotonic()
        outcome = await asker.ask(
            method,
            f"{path}{self._count}".encode(),
            headers=[
                (b"host", b"soak.example"),
                *published.ask_headers(f"demo-{self._count}", _WAIT_MS),
            ],
            body=b"x" if method == b"POST" else b"",
            timeout_s=_WAIT_MS / 1000 + 1,
        )
        asker.close()
        took_ms = (self._clock.monotonic() - started) * 1000
        if isinstance(outcome, http1.Lost):
            print(f"  {vm.name} {path}: no answer, {outcome.reason}")
            self.good = False
            return
        response = outcome.response
        seals, left_out = published.parts_of(response.headers)
        parts = f", parts {len(seals)}, missing {left_out}" if seals else ""
        print(
            f"  {vm.name} {method.decode()} {path}: {response.status} "
            f"in {took_ms:.0f} ms{parts}"
        )
        if response.status != expect or left_out != missing:
            self.good = False


def _sleep(seconds: float) -> "defer.Deferred[None]":
    slept: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(seconds, slept.callback, None)
    return slept


def main() -> None:
    """Runs the demonstration; exits 1 if an answer is not as expected."""
    with tempfile.TemporaryDirectory() as folder:
        world = tier_world.World(
            rng=random.Random(1),
            directory=pathlib.Path(folder),
            vm_count=_VMS,
            shard_count=_SHARDS,
            base_port=20_000 + 20 * random.SystemRandom().randrange(500),
        )
        demo = _Demo(world=world)

        def ended(result: object) -> None:
            if result is not None:
                print(result)
                demo.good = False
            world.stop()
            reactor.callLater(0.3, reactor.stop)

        reactor.callWhenRunning(
            lambda: defer.ensureDeferred(demo.run()).addBoth(ended)
        )
        reactor.run()
    print("platform demo: ok" if demo.good else "platform demo: failed")
    sys.exit(0 if demo.good else 1)


if __name__ == "__main__":
    main()
