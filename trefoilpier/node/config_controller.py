"""Keeps the newest published configuration in force on this node.

The first few nodes by rendezvous hash watch the store. Everyone else hears a
version number with the peers' messages and pulls the manifest and only those
objects that changed from the peer that spoke.
"""

import random
from collections.abc import Callable
from typing import Any

import expression
from twisted.internet import defer

from trefoilpier import base, board, config, metadata, peer
from trefoilpier.config import publish

_WATCHERS = 3
_WATCH_WAIT_S = 10.0
_RETRY_MIN_S = 0.25
_RETRY_MAX_S = 4.0
_MEMBERS_PERIOD_S = 1.0
_PULL_TIMEOUT_S = 1.0
_PULL_RETRY_S = 0.2
_PULL_HASHES_MAX = 500
_REPLY_BYTES_MAX = 32_000
_NOTICE_FANOUT = 4
_ROLE_PERIOD_S = 0.5
_WATCH_KEY = "config-watchers"


class ConfigController:
    """Watches, pulls, checks and puts configurations in force."""

    __slots__ = (
        "_ask",
        "_board",
        "_clock",
        "_heard_by_peer",
        "_log",
        "_may_watch",
        "_next_id",
        "_on_in_force",
        "_on_members",
        "_pulling",
        "_random",
        "_ranked_generation",
        "_rejected_version",
        "_retry",
        "_revision",
        "_send_notice",
        "_stopped",
        "_store",
        "_store_up",
        "_watching",
    )

    def __init__(
        self,
        *,
        blackboard: board.Board,
        clock: base.Clock,
        rng: random.Random,
        log: base.EventLog,
        store: metadata.Store,
        ask: Callable[..., None],
        next_id: Callable[[], str],
        send_notice: Callable[[str, peer.Message], None],
        on_in_force: Callable[[], None],
        on_members: Callable[[list[metadata.VmRecord]], None],
    ) -> None:
        self._board = blackboard
        self._clock = clock
        self._random = rng
        self._log = log
        self._store = store
        self._ask = ask
        self._next_id = next_id
        self._send_notice = send_notice
        self._on_in_force = on_in_force
        self._on_members = on_members
        self._revision = 0
        self._retry = _RETRY_MIN_S
        self._store_up = True
        self._watching = False
        self._pulling = False
        self._stopped = False
        self._rejected_version = 0
        self._ranked_generation = -1
        self._may_watch = False
        self._heard_by_peer: dict[str, int] = {}

    def start(self) -> None:
        """Reads the membership list and the head once, then takes its role."""
        self._spawn(self._start())

    def stop(self) -> None:
        """Ends watching and pulling."""
        self._stopped = True

    def recheck(self) -> None:
        """Reads the head once more, after this process stood still."""
        if not self._stopped:
            self._spawn(self._read_head())

    def heard(self, sender: str, version: int) -> None:
        """Takes in the version that a peer has in force."""
        section = self._board.config
        if version <= section.version or sender == self._board.nodes.self_id:
            return
        section.heard_version = max(section.heard_version, version)
        self._heard_by_peer[sender] = version
        if not self._pulling:
            self._pulling = True
            self._clock.call_later(0, self._pull)

    def manifest_for_peer(self, message: peer.ManifestPull) -> peer.Message:
        """Answers a peer that asks for the manifest."""
        manifest = self._board.config.manifest
        data = manifest.to_bytes() if manifest is not None else b""
        return peer.ManifestReply(id=message.id, manifest=data)

    def objects_for_peer(self, message: peer.ObjectsPull) -> peer.Message:
        """Answers a peer that asks for objects, up to a bounded size."""
        known = self._board.config.data_by_hash
        found: list[bytes] = []
        size = 0
        for address in message.hashes:
            data = known.get(address, b"")
            if not data or (found and size + len(data) > _REPLY_BYTES_MAX):
                continue
            found.append(data)
            size += len(data)
        return peer.ObjectsReply(id=message.id, objects=tuple(found))

    def _spawn(self, work: Any) -> None:
        defer.ensureDeferred(work).addErrback(self._crashed)

    def _crashed(self, failure: Any) -> None:
        self._log.emit(
            base.Event.CONFIG_REJECTED, problem=str(failure.value), version=0
        )
        self._watching = False

    async def _start(self) -> None:
        await self._read_members()
        await self._read_head()
        self._take_role()
        self._poll_members()

    def _is_watcher(self) -> bool:
        """Tells whether this node is among the watchers of the store.

        The nodes are ranked once for each change of them.
        """
        nodes = self._board.nodes
        if self._ranked_generation != nodes.generation:
            self._ranked_generation = nodes.generation
            ranked = base.rank_nodes(_WATCH_KEY, nodes.live_ids)
            self._may_watch = nodes.self_id in ranked[:_WATCHERS]
        return self._may_watch

    def _take_role(self) -> None:
        """Begins or ends watching as the live nodes change."""
        if self._stopped:
            return
        self._clock.call_later(_ROLE_PERIOD_S, self._take_role)
        if self._is_watcher() and not self._watching:
            self._watching = True
            self._log.emit(base.Event.WATCHER_ROLE, watching=True)
            self._spawn(self._watch())

    def _poll_members(self) -> None:
        if self._stopped:
            return
        self._clock.call_later(_MEMBERS_PERIOD_S, self._poll_members)
        alone = len(self._board.nodes.live_ids) <= 1
        if self._is_watcher() or alone:
            self._spawn(self._read_members())

    async def _read_members(self) -> None:
        answer = await self._store.members()
        if answer.is_ok():
            self._on_members(answer.ok)

    async def _watch(self) -> None:
        """Waits for changes of the head while this node is a watcher."""
        while self._is_watcher() and not self._stopped:
            answer = await self._store.watch(
                config.publish.HEAD_KEY,
                after=self._revision,
                wait=_WATCH_WAIT_S,
            )
            if answer.is_error():
                await self._store_failed(answer.error)
                continue
            self._store_answered()
            entry = answer.ok
            if entry.revision < self._revision:
                # The store lost its past or the read was stale.
                self._revision = 0
                await self._sleep(_RETRY_MIN_S)
            if entry.revision > self._revision and entry.value:
                head = config.Head.from_bytes(entry.value)
                if await self._fetch(head):
                    self._revision = entry.revision
                else:
                    await self._sleep(_RETRY_MIN_S)
        self._watching = False
        self._log.emit(base.Event.WATCHER_ROLE, watching=False)

    async def _read_head(self) -> None:
        answer = await publish.fetch_head(self._store)
        if answer.is_error():
            await self._store_failed(answer.error)
            return
        head, _ = answer.ok
        if head.version:
            await self._fetch(head)

    async def _fetch(self, head: config.Head) -> bool:
        """Reads a head's set and puts it in force; False to try again."""
        section = self._board.config
        if head.version <= section.version:
            if head.version < section.version:
                self._log.emit(
                    base.Event.CONFIG_STALE_READ,
                    read=head.version,
                    in_force=section.version,
                )
            return True
        manifest = await publish.fetch_manifest(self._store, head.manifest)
        if manifest.is_error():
            await self._store_failed(manifest.error)
            return False
        bundle = await publish.fetch_bundle(
            self._store, manifest.ok, section.data_by_hash
        )
        if bundle.is_error():
            await self._store_failed(bundle.error)
            return False
        self._put_in_force(manifest.ok, bundle.ok, "store")
        return True

    def _put_in_force(
        self, manifest: config.Manifest, bundle: config.Bundle, source: str
    ) -> None:
        """Checks a whole set and puts it in force if it is newer."""
        section = self._board.config
        if manifest.version <= section.version:
            return
        built = config.build_config_set(
            version=manifest.version,
            objects=bundle.objects(),
            previous=section.current,
        )
        if built.is_error():
            self._rejected_version = manifest.version
            self._log.emit(
                base.Event.CONFIG_REJECTED,
                version=manifest.version,
                problem=str(built.error[0]),
            )
            return
        section.current = built.ok
        section.manifest = manifest
        section.data_by_hash = bundle.data_by_hash
        section.in_force_at = self._clock.monotonic()
        section.heard_version = max(section.heard_version, manifest.version)
        self._log.emit(
            base.Event.CONFIG_IN_FORCE, version=manifest.version, source=source
        )
        self._on_in_force()
        self._spread_notice()

    def _spread_notice(self) -> None:
        """Tells a few random peers of the new version, once."""
        nodes = self._board.nodes
        others = [n for n in nodes.live_ids if n != nodes.self_id]
        count = min(_NOTICE_FANOUT, len(others))
        for node_id in self._random.sample(others, count):
            self._send_notice(node_id, peer.Notice(hops=0))

    def _pull(self) -> None:
        """Pulls the newest version from a peer that has it."""
        section = self._board.config
        ahead = [
            node_id
            for node_id, version in self._heard_by_peer.items()
            if version > max(section.version, self._rejected_version)
        ]
        if not ahead or self._stopped:
            self._pulling = False
            self._heard_by_peer.clear()
            return
        self._spawn(self._pull_from(self._random.choice(ahead)))

    async def _pull_from(self, node_id: str) -> None:
        done = await self._pull_set(node_id)
        if done.is_error():
            self._heard_by_peer.pop(node_id, None)
            await self._sleep(_PULL_RETRY_S)
        self._pull()

    async def _pull_set(
        self, node_id: str
    ) -> expression.Result[None, base.Failure]:
        """Pulls the manifest, then the objects that changed."""
        section = self._board.config
        reply = await self._ask_peer(node_id, peer.ManifestPull)
        if not isinstance(reply, peer.ManifestReply) or not reply.manifest:
            return _peer_failed("no manifest")
        try:
            manifest = config.Manifest.from_bytes(reply.manifest)
        except (ValueError, KeyError):
            return _peer_failed("malformed manifest")
        if manifest.version <= section.version:
            return _peer_failed("older manifest")
        data_by_hash = {
            address: section.data_by_hash[address]
            for address in manifest.object_hashes
            if address in section.data_by_hash
        }
        wanted = set(manifest.object_hashes)
        while wanted - data_by_hash.keys():
            missing = tuple(sorted(wanted - data_by_hash.keys()))
            answer = await self._ask_peer(
                self._another_peer(node_id, manifest.version),
                peer.ObjectsPull,
                hashes=missing[:_PULL_HASHES_MAX],
            )
            if not isinstance(answer, peer.ObjectsReply) or not answer.objects:
                return _peer_failed("no objects")
            for data in answer.objects:
                data_by_hash[base.content_hash(data)] = data
        whole = {h: data_by_hash[h] for h in manifest.object_hashes}
        bundle = config.Bundle(data_by_hash=whole)
        self._put_in_force(manifest, bundle, node_id)
        return expression.Ok(None)

    def _another_peer(self, node_id: str, version: int) -> str:
        """Returns any peer that has a version, to spread a large pull."""
        able = [p for p, v in self._heard_by_peer.items() if v >= version]
        return self._random.choice(able) if able else node_id

    def _ask_peer(
        self, node_id: str, kind: type, **fields: Any
    ) -> "defer.Deferred[peer.Message | None]":
        waiting: defer.Deferred = defer.Deferred()
        request_id = self._next_id()
        self._ask(
            node_id,
            request_id,
            kind(id=request_id, **fields),
            timeout=_PULL_TIMEOUT_S,
            on_reply=waiting.callback,
        )
        return waiting

    async def _store_failed(self, failure: base.Failure) -> None:
        """Notes an outage and waits before the next try."""
        if self._store_up:
            self._store_up = False
            self._log.emit(base.Event.STORE_DOWN, problem=failure.detail)
        jitter = 0.5 + self._random.random()
        delay = self._retry * jitter
        self._retry = min(_RETRY_MAX_S, self._retry * 2)
        await self._sleep(delay)

    def _store_answered(self) -> None:
        self._retry = _RETRY_MIN_S
        if not self._store_up:
            self._store_up = True
            self._log.emit(base.Event.STORE_UP)

    def _sleep(self, seconds: float) -> "defer.Deferred[None]":
        waiting: defer.Deferred = defer.Deferred()
        self._clock.call_later(seconds, waiting.callback, None)
        return waiting


def _peer_failed(detail: str) -> expression.Result[None, base.Failure]:
    return expression.Error(
        base.Failure(code=base.ResultCode.PEER_PROTOCOL, detail=detail)
    )
