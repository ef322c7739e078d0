"""Demonstration of the tier on a simulation of the users' platform."""

import pathlib
import random
import signal
import sys
import tempfile

from twisted.internet import defer, reactor

from standins import published_protocol, tier_world
from trefoilpier import base, http1

_SHARDS = 4
_VMS = 3
_STARTUP_WAIT_S = 3.0  # Processes start and read the store within about 1 s.
_RESTART_WAIT_S = 2.0  # As above, plus the delay before the restart.
_DEADLINE_MS = 1500


class _Demo:
    """Sequence of requests, with a paused shard and a killed VM in between."""

    def __init__(self, *, environment: tier_world.TierEnvironment) -> None:
        self._environment = environment
        self._clock = base.ReactorClock(reactor=reactor)
        self._request_count = 0
        self.succeeded = True

    async def run(self) -> None:
        """Send the requests and inject the faults."""
        environment = self._environment
        environment.start()
        await _sleep(_STARTUP_WAIT_S)
        print("A query over 4 shards, a read and a write at each VM:")
        for vm in environment.vms:
            for path, method in (("/g/", b"GET"), ("/r/", b"GET")):
                await self._send_request(vm, path, method, expected_status=200)
            await self._send_request(vm, "/w/", b"POST", expected_status=200)
        print("All leaves of one shard pause; the response has a missing part:")
        for instance in environment.live_leaves:
            if instance.service == environment.shard_sets[-1][0]:
                instance.leaf.faults.paused = True
        await self._send_request(
            environment.vms[0],
            "/g/",
            b"GET",
            expected_status=200,
            expected_missing=1,
        )
        for instance in environment.live_leaves:
            instance.leaf.resume()
        print("A VM is killed and restarts; the routes change to new shards:")
        environment.vms[1].send_signal(signal.SIGKILL)
        environment.reshard()
        await _sleep(_RESTART_WAIT_S)
        await self._send_request(
            environment.vms[1], "/g/", b"GET", expected_status=200
        )
        await self._send_request(
            environment.vms[0], "/none/", b"GET", expected_status=404
        )

    async def _send_request(
        self,
        vm: tier_world.Vm,
        path: str,
        method: bytes,
        *,
        expected_status: int,
        expected_missing: int = 0,
    ) -> None:
        self._request_count += 1
        client = http1.HttpClient(
            reactor=reactor,
            clock=self._clock,
            host=vm.ports.host,
            port=vm.ports.caller_port,
        )
        sent_at = self._clock.monotonic()
        outcome = await client.send_request(
            method,
            f"{path}{self._request_count}".encode(),
            headers=[
                (b"host", b"soak.example"),
                *published_protocol.request_headers(
                    f"demo-{self._request_count}", _DEADLINE_MS
                ),
            ],
            body=b"x" if method == b"POST" else b"",
            timeout_s=_DEADLINE_MS / 1000 + 1,
        )
        client.close()
        elapsed_ms = (self._clock.monotonic() - sent_at) * 1000
        if isinstance(outcome, http1.RequestFailed):
            print(f"  {vm.name} {path}: no response, {outcome.reason}")
            self.succeeded = False
            return
        response = outcome.response
        seals, missing = published_protocol.gathered_parts(response.headers)
        parts = f", parts {len(seals)}, missing {missing}" if seals else ""
        print(
            f"  {vm.name} {method.decode()} {path}: {response.status} "
            f"in {elapsed_ms:.0f} ms{parts}"
        )
        if response.status != expected_status or missing != expected_missing:
            self.succeeded = False


def _sleep(seconds: float) -> "defer.Deferred[None]":
    elapsed: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(seconds, elapsed.callback, None)
    return elapsed


def main() -> None:
    """Run the demonstration; exit with 1 if a response is not as expected."""
    with tempfile.TemporaryDirectory() as folder:
        environment = tier_world.TierEnvironment(
            rng=random.Random(1),
            directory=pathlib.Path(folder),
            vm_count=_VMS,
            shard_count=_SHARDS,
            base_port=20_000 + 20 * random.SystemRandom().randrange(500),
        )
        demo = _Demo(environment=environment)

        def on_end(result: object) -> None:
            if result is not None:
                print(result)
                demo.succeeded = False
            environment.stop()
            reactor.callLater(0.3, reactor.stop)

        reactor.callWhenRunning(
            lambda: defer.ensureDeferred(demo.run()).addBoth(on_end)
        )
        reactor.run()
    print("platform demo: ok" if demo.succeeded else "platform demo: failed")
    sys.exit(0 if demo.succeeded else 1)


if __name__ == "__main__":
    main()
