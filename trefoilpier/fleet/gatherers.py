"""Which VMs that gather answer, as another VM sees them."""

import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from trefoilpier import base, http1, replicas, store
from trefoilpier.fleet import directory, state_pages

# A page is held for a second; one that is later means a VM that is frozen,
# cut off or gone, and its requests are lost.
_STATE_TIMEOUT_S = state_pages.HOLD_S + 0.6
_RETRY_S = 0.3  # Between two attempts to reach a gatherer.
_FIND_S = 0.25  # Between two looks at the store while no gatherer answers.
_FIND_LATER_S = 3.0  # The same once some do.
_STATUS_NO_NEWS = 204
_DOWN_S = 3.0  # A gatherer that went down ranks last for so long.
_LINKS_MAX = 2  # Gatherers that a VM listens to.


class _Link:
    """Follows the state of one gatherer."""

    __slots__ = (
        "_ask",
        "_known",
        "_watch",
        "active",
        "record",
        "up",
    )

    def __init__(
        self, *, watch: "GathererWatch", record: directory.VmRecord
    ) -> None:
        self._watch = watch
        self._ask = watch.make_asker(record)
        self._known = ""
        self.record = record
        self.active = True
        self.up = False

    async def run(self) -> None:
        while self.active:
            target = b"%b?known=%b" % (
                state_pages.STATE_PATH,
                self._known.encode(),
            )
            outcome = await self._ask.ask(
                b"GET", target, timeout_s=_STATE_TIMEOUT_S
            )
            if not self.active:
                return
            if _is_no_news(outcome) and self.up:
                continue
            state = _read_state(outcome)
            if state is None or state.leaving:
                leaving = state is not None
                self._watch.link_down(self, leaving=leaving)
                self._known = ""
                await self._watch.sleep(_RETRY_S)
                continue
            self._known = state.tag(leafs=self._watch.follows_leafs)
            self._watch.link_told(self, state)


def _is_no_news(outcome: http1.Exchanged | http1.Lost) -> bool:
    return (
        isinstance(outcome, http1.Exchanged)
        and outcome.response.status == _STATUS_NO_NEWS
    )


def _read_state(
    outcome: http1.Exchanged | http1.Lost,
) -> state_pages.FleetState | None:
    if isinstance(outcome, http1.Lost):
        return None
    decoded = state_pages.decode_state(outcome.response.body)
    return decoded.ok if decoded.is_ok() else None


class GathererWatch:
    """Finds VMs that gather and listens to a few of them.

    A VM that relays listens to the nearest ones, and its requests go there.
    One that gathers listens to any, for what its store does not tell it.

    Attributes:
        version: Highest version of the routes that any of them has had.
        directory: The VMs that gather.
    """

    __slots__ = (
        "_clock",
        "_down_until_by_id",
        "_link_by_id",
        "_log",
        "_on_state",
        "_own_id",
        "_reactor",
        "_registry",
        "_rng",
        "_store",
        "_zone",
        "directory",
        "version",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        rng: random.Random,
        reactor: Any,
        store_client: store.KeyValueStore,
        registry: replicas.LeafRegistry,
        own_id: str,
        zone: str,
        on_state: Callable[[directory.VmRecord, state_pages.FleetState], None],
    ) -> None:
        """Prepares the watch.

        Args:
            clock: The clock.
            log: Where events go.
            rng: Random numbers.
            reactor: Makes connections.
            store_client: The store in which VMs register.
            registry: Takes the VMs that answer, as targets of requests.
            own_id: This VM.
            zone: VMs in this availability zone come first; empty for none.
            on_state: Called with each VM's news.
        """
        self._clock = clock
        self._log = log
        self._rng = rng
        self._reactor = reactor
        self._store = store_client
        self._registry = registry
        self._own_id = own_id
        self._zone = zone
        self._on_state = on_state
        self._link_by_id: dict[str, _Link] = {}
        self._down_until_by_id: dict[str, float] = {}
        self.directory = directory.VmDirectory()
        self.version = 0

    def start(self) -> None:
        """Starts to look for gatherers, for as long as the process runs."""
        defer.ensureDeferred(self._find())

    @property
    def usable(self) -> bool:
        """Whether any gatherer answers and has routes."""
        return self.version > 0 and any(
            link.up for link in self._link_by_id.values()
        )

    @property
    def follows_leafs(self) -> bool:
        """Whether a peer's change of leafs is news here."""
        return not self._zone

    async def _find(self) -> None:
        """Reads the list from the store while nobody else tells it."""
        find_s = _FIND_S
        while True:
            if self.usable:
                find_s = _FIND_S
            else:
                find_s = min(_FIND_LATER_S, 1.3 * find_s)
                read = await self._store.read_all(
                    directory.KEY_PREFIX, may_be_old=True
                )
                if read.is_ok():
                    self._take_items(read.ok.items)
            pause_s = _FIND_LATER_S if self.usable else find_s
            await self.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    def _take_items(self, items: list[store.Item]) -> None:
        decoded = [directory.decode_vm(item.value) for item in items]
        records = [each.ok for each in decoded if each.is_ok()]
        if records:
            self._take_records(records)

    def _take_records(self, records: list[directory.VmRecord]) -> None:
        self.directory.replace_all(
            [record for record in records if record.id != self._own_id]
        )
        self._relink()

    def _relink(self) -> None:
        """Listens to the nearest gatherers, chosen by a hash of both ends."""
        wanted = self._nearest()
        served = any(
            link.up
            for vm_id, link in self._link_by_id.items()
            if wanted.get(vm_id) == link.record
        )
        for vm_id, link in list(self._link_by_id.items()):
            if wanted.get(vm_id) == link.record:
                continue
            # A distant gatherer is kept until a nearer one answers.
            if served or not link.up:
                link.active = False
                del self._link_by_id[vm_id]
        for vm_id, record in wanted.items():
            if vm_id not in self._link_by_id:
                link = _Link(watch=self, record=record)
                self._link_by_id[vm_id] = link
                defer.ensureDeferred(link.run())
        self._registry.replace_all(
            link.record.as_leaf()
            for link in self._link_by_id.values()
            if link.up
        )

    def _nearest(self) -> dict[str, directory.VmRecord]:
        now = self._clock.monotonic()

        def rank(record: directory.VmRecord) -> tuple[bool, bool, int]:
            down = self._down_until_by_id.get(record.id, 0.0) > now
            far = bool(self._zone) and record.zone != self._zone
            return down, far, base.stable_hash(self._own_id + record.id)

        ranked = sorted(self.directory.vm_by_id.values(), key=rank)
        return {record.id: record for record in ranked[:_LINKS_MAX]}

    def make_asker(self, record: directory.VmRecord) -> http1.Asker:
        """Makes the client of one gatherer's state."""
        return http1.Asker(
            reactor=self._reactor,
            clock=self._clock,
            host=record.host,
            port=record.state_port,
        )

    def link_told(self, link: _Link, state: state_pages.FleetState) -> None:
        """Takes a gatherer's state."""
        if not link.up:
            link.up = True
            self._down_until_by_id.pop(link.record.id, None)
            self._registry.put(link.record.as_leaf())
            self._log.emit(base.Event.PEER_CONNECTED, peer=link.record.id)
        if state.version > self.version:
            self.version = state.version
        self._on_state(link.record, state)
        if state.vms:
            self._take_records(state.vms)

    def link_down(self, link: _Link, *, leaving: bool) -> None:
        """Takes a gatherer that does not answer, or is shutting down.

        Requests at one that does not answer are lost; one that is shutting
        down ends those that it has.
        """
        vm_id = link.record.id
        self._down_until_by_id[vm_id] = self._clock.monotonic() + _DOWN_S
        if not link.up:
            return
        link.up = False
        self._log.emit(base.Event.PEER_LOST, peer=vm_id, leaving=leaving)
        pool = self._registry.pool_by_id.get(vm_id)
        if pool is not None and not leaving:
            pool.fail_all()
        self._registry.gone(vm_id)
        self._relink()

    def sleep(self, seconds: float) -> "defer.Deferred[None]":
        """Returns a Deferred that fires after some seconds."""
        slept: defer.Deferred[None] = defer.Deferred()
        self._clock.call_later(seconds, slept.callback, None)
        return slept
