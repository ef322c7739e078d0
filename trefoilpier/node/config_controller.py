"""Distribution of the newest published configuration to this node.

The first few nodes in rendezvous hash order watch the store. All other nodes
learn of a new version from the envelopes of peers' messages. They pull the
manifest, and the objects that have changed, from peers that have the version.
"""

import random
from collections.abc import Callable
from typing import Any

import expression
from twisted.internet import defer

from trefoilpier import base, board, config, metadata, peer
from trefoilpier.config import publish

_WATCHER_COUNT = 3
_WATCH_WAIT_S = 10.0
_RETRY_MIN_S = 0.25
_RETRY_MAX_S = 4.0
_MEMBERS_POLL_PERIOD_S = 1.0
_PULL_TIMEOUT_S = 1.0
_PULL_RETRY_S = 0.2
_PULL_HASHES_MAX = 500
_REPLY_BYTES_MAX = 32_000
_NOTICE_FANOUT = 4
_ROLE_CHECK_PERIOD_S = 0.5
_WATCHER_HASH_KEY = "config-watchers"


class ConfigController:
    """Controller that fetches, validates and applies configurations.

    It watches the store while this node is a watcher, and pulls from peers
    that have a newer version.
    """

    __slots__ = (
        "_send_request",
        "_board",
        "_clock",
        "_era",
        "_version_by_peer",
        "_log",
        "_ranked_as_watcher",
        "_next_id",
        "_on_config_applied",
        "_on_members",
        "_pulling",
        "_random",
        "_ranking_generation",
        "_rejected_version",
        "_retry_delay",
        "_revision",
        "_send_notice",
        "_stopped",
        "_store",
        "_store_available",
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
        send_request: Callable[..., None],
        next_id: Callable[[], str],
        send_notice: Callable[[str, peer.Message], None],
        on_config_applied: Callable[[], None],
        on_members: Callable[[list[metadata.VmRecord]], None],
    ) -> None:
        self._board = blackboard
        self._clock = clock
        self._random = rng
        self._log = log
        self._store = store
        self._send_request = send_request
        self._next_id = next_id
        self._send_notice = send_notice
        self._on_config_applied = on_config_applied
        self._on_members = on_members
        self._revision = 0
        self._era: int | None = None
        self._retry_delay = _RETRY_MIN_S
        self._store_available = True
        self._watching = False
        self._pulling = False
        self._stopped = False
        self._rejected_version = 0
        self._ranking_generation = -1
        self._ranked_as_watcher = False
        self._version_by_peer: dict[str, int] = {}

    def start(self) -> None:
        """Read the membership list and the head, then start periodic tasks."""
        self._spawn(self._initialize())

    def stop(self) -> None:
        """Stop watching and pulling."""
        self._stopped = True

    def reread_head(self) -> None:
        """Read the head again, after this process was frozen."""
        if not self._stopped:
            self._spawn(self._read_head())

    def handle_peer_version(self, sender: str, version: int) -> None:
        """Record the active version of a peer; pull it if it is newer."""
        config_state = self._board.config
        if (
            version <= config_state.version
            or sender == self._board.nodes.self_id
        ):
            return
        config_state.highest_known_version = max(
            config_state.highest_known_version, version
        )
        self._version_by_peer[sender] = version
        if not self._pulling:
            self._pulling = True
            self._clock.call_later(0, self._pull_next)

    def make_manifest_reply(self, message: peer.ManifestPull) -> peer.Message:
        """Return the reply to a peer that pulls the manifest."""
        manifest = self._board.config.manifest
        data = manifest.to_bytes() if manifest is not None else b""
        return peer.ManifestReply(id=message.id, manifest=data)

    def make_objects_reply(self, message: peer.ObjectsPull) -> peer.Message:
        """Return the reply to a peer that pulls objects, bounded in size."""
        stored_data = self._board.config.data_by_hash
        reply_objects: list[bytes] = []
        reply_bytes = 0
        for object_hash in message.hashes:
            data = stored_data.get(object_hash, b"")
            if not data or (
                reply_objects and reply_bytes + len(data) > _REPLY_BYTES_MAX
            ):
                continue
            reply_objects.append(data)
            reply_bytes += len(data)
        return peer.ObjectsReply(id=message.id, objects=tuple(reply_objects))

    def _spawn(self, coroutine: Any) -> None:
        defer.ensureDeferred(coroutine).addErrback(self._handle_task_failure)

    def _handle_task_failure(self, failure: Any) -> None:
        self._log.emit(
            base.Event.CONFIG_REJECTED, problem=str(failure.value), version=0
        )
        self._watching = False

    async def _initialize(self) -> None:
        await self._read_members()
        await self._read_head()
        self._update_role()
        self._poll_members()

    def _is_watcher(self) -> bool:
        """Return whether this node is one of the watchers of the store.

        The nodes are ranked again only after the set of live nodes changed.
        """
        nodes = self._board.nodes
        if self._ranking_generation != nodes.generation:
            self._ranking_generation = nodes.generation
            ranked = base.rank_nodes(_WATCHER_HASH_KEY, nodes.live_ids)
            self._ranked_as_watcher = nodes.self_id in ranked[:_WATCHER_COUNT]
        return self._ranked_as_watcher

    def _update_role(self) -> None:
        """Start to watch once this node has become a watcher."""
        if self._stopped:
            return
        self._clock.call_later(_ROLE_CHECK_PERIOD_S, self._update_role)
        if self._is_watcher() and not self._watching:
            self._watching = True
            self._log.emit(base.Event.WATCHER_ROLE, watching=True)
            self._spawn(self._watch_head())

    def _poll_members(self) -> None:
        if self._stopped:
            return
        self._clock.call_later(_MEMBERS_POLL_PERIOD_S, self._poll_members)
        alone = len(self._board.nodes.live_ids) <= 1
        if self._is_watcher() or alone:
            self._spawn(self._read_members())

    async def _read_members(self) -> None:
        result = await self._store.members()
        if result.is_ok():
            self._on_members(result.ok)

    async def _watch_head(self) -> None:
        """Wait for changes of the head while this node is a watcher."""
        while self._is_watcher() and not self._stopped:
            result = await self._store.watch(
                config.publish.HEAD_KEY,
                after=self._revision,
                wait=_WATCH_WAIT_S,
            )
            if result.is_error():
                await self._handle_store_failure(result.error)
                continue
            self._handle_store_success()
            entry = result.ok
            restored = entry.era != self._era
            self._era = entry.era
            if entry.revision < self._revision or (restored and self._revision):
                # The store lost writes, or the read was stale.
                self._revision = 0
                await self._sleep(_RETRY_MIN_S)
            if entry.revision > self._revision and entry.value:
                head = config.Head.from_bytes(entry.value)
                if await self._fetch_and_apply(head):
                    self._revision = entry.revision
                else:
                    await self._sleep(_RETRY_MIN_S)
        self._watching = False
        self._log.emit(base.Event.WATCHER_ROLE, watching=False)

    async def _read_head(self) -> None:
        head_result = await publish.fetch_head(self._store)
        if head_result.is_error():
            await self._handle_store_failure(head_result.error)
            return
        head, _ = head_result.ok
        if head.version:
            await self._fetch_and_apply(head)

    async def _fetch_and_apply(self, head: config.Head) -> bool:
        """Read the configuration of a head from the store and apply it.

        Returns:
            False if the store failed and the read is to be retried.
        """
        config_state = self._board.config
        if head.version <= config_state.version:
            if head.version < config_state.version:
                self._log.emit(
                    base.Event.CONFIG_STALE_READ,
                    read=head.version,
                    in_force=config_state.version,
                )
            return True
        manifest_result = await publish.fetch_manifest(
            self._store, head.manifest_hash
        )
        if manifest_result.is_error():
            await self._handle_store_failure(manifest_result.error)
            return False
        bundle_result = await publish.fetch_bundle(
            self._store, manifest_result.ok, config_state.data_by_hash
        )
        if bundle_result.is_error():
            await self._handle_store_failure(bundle_result.error)
            return False
        self._apply(manifest_result.ok, bundle_result.ok, "store")
        return True

    def _apply(
        self, manifest: config.Manifest, bundle: config.Bundle, source: str
    ) -> None:
        """Validate a configuration and apply it if it is newer."""
        config_state = self._board.config
        if manifest.version <= config_state.version:
            return
        build_result = config.build_config_set(
            version=manifest.version,
            objects=bundle.objects(),
            previous=config_state.current,
        )
        if build_result.is_error():
            self._rejected_version = manifest.version
            self._log.emit(
                base.Event.CONFIG_REJECTED,
                version=manifest.version,
                problem=str(build_result.error[0]),
            )
            return
        config_state.current = build_result.ok
        config_state.manifest = manifest
        config_state.data_by_hash = bundle.data_by_hash
        config_state.in_force_at = self._clock.monotonic()
        config_state.highest_known_version = max(
            config_state.highest_known_version, manifest.version
        )
        self._log.emit(
            base.Event.CONFIG_IN_FORCE, version=manifest.version, source=source
        )
        self._on_config_applied()
        self._notify_random_peers()

    def _notify_random_peers(self) -> None:
        """Announce the new version once to a few random peers."""
        nodes = self._board.nodes
        other_ids = [
            other_id for other_id in nodes.live_ids if other_id != nodes.self_id
        ]
        count = min(_NOTICE_FANOUT, len(other_ids))
        for node_id in self._random.sample(other_ids, count):
            self._send_notice(node_id, peer.Notice(hops=0))

    def _pull_next(self) -> None:
        """Pull a newer version from a random peer that has one."""
        config_state = self._board.config
        newer_peers = [
            node_id
            for node_id, version in self._version_by_peer.items()
            if version > max(config_state.version, self._rejected_version)
        ]
        if not newer_peers or self._stopped:
            self._pulling = False
            self._version_by_peer.clear()
            return
        self._spawn(self._pull_from(self._random.choice(newer_peers)))

    async def _pull_from(self, node_id: str) -> None:
        pull_result = await self._pull_config(node_id)
        if pull_result.is_error():
            self._version_by_peer.pop(node_id, None)
            await self._sleep(_PULL_RETRY_S)
        self._pull_next()

    async def _pull_config(
        self, node_id: str
    ) -> expression.Result[None, base.Failure]:
        """Pull the manifest, then the objects that have changed."""
        config_state = self._board.config
        manifest_reply = await self._request_from_peer(
            node_id, peer.ManifestPull
        )
        if (
            not isinstance(manifest_reply, peer.ManifestReply)
            or not manifest_reply.manifest
        ):
            return _peer_error("peer sent no manifest")
        try:
            manifest = config.Manifest.from_bytes(manifest_reply.manifest)
        except (ValueError, KeyError):
            return _peer_error("malformed manifest")
        if manifest.version <= config_state.version:
            return _peer_error("manifest is not newer")
        data_by_hash = {
            object_hash: config_state.data_by_hash[object_hash]
            for object_hash in manifest.object_hashes
            if object_hash in config_state.data_by_hash
        }
        required_hashes = set(manifest.object_hashes)
        while required_hashes - data_by_hash.keys():
            missing_hashes = tuple(
                sorted(required_hashes - data_by_hash.keys())
            )
            objects_reply = await self._request_from_peer(
                self._choose_peer(node_id, manifest.version),
                peer.ObjectsPull,
                hashes=missing_hashes[:_PULL_HASHES_MAX],
            )
            if (
                not isinstance(objects_reply, peer.ObjectsReply)
                or not objects_reply.objects
            ):
                return _peer_error("peer sent no objects")
            for data in objects_reply.objects:
                data_by_hash[base.content_hash(data)] = data
        complete_data = {h: data_by_hash[h] for h in manifest.object_hashes}
        bundle = config.Bundle(data_by_hash=complete_data)
        self._apply(manifest, bundle, node_id)
        return expression.Ok(None)

    def _choose_peer(self, node_id: str, version: int) -> str:
        """Return a random peer that has a version, to spread a large pull."""
        peers_with_version = [
            peer_id
            for peer_id, peer_version in self._version_by_peer.items()
            if peer_version >= version
        ]
        return (
            self._random.choice(peers_with_version)
            if peers_with_version
            else node_id
        )

    def _request_from_peer(
        self, node_id: str, message_type: type, **fields: Any
    ) -> "defer.Deferred[peer.Message | None]":
        reply: defer.Deferred = defer.Deferred()
        request_id = self._next_id()
        self._send_request(
            node_id,
            request_id,
            message_type(id=request_id, **fields),
            timeout=_PULL_TIMEOUT_S,
            on_reply=reply.callback,
        )
        return reply

    async def _handle_store_failure(self, failure: base.Failure) -> None:
        """Log an outage and wait before the next attempt.

        The wait grows exponentially and is jittered.
        """
        if self._store_available:
            self._store_available = False
            self._log.emit(base.Event.STORE_DOWN, problem=failure.detail)
        jitter = 0.5 + self._random.random()
        delay = self._retry_delay * jitter
        self._retry_delay = min(_RETRY_MAX_S, self._retry_delay * 2)
        await self._sleep(delay)

    def _handle_store_success(self) -> None:
        self._retry_delay = _RETRY_MIN_S
        if not self._store_available:
            self._store_available = True
            self._log.emit(base.Event.STORE_UP)

    def _sleep(self, seconds: float) -> "defer.Deferred[None]":
        elapsed: defer.Deferred = defer.Deferred()
        self._clock.call_later(seconds, elapsed.callback, None)
        return elapsed


def _peer_error(detail: str) -> expression.Result[None, base.Failure]:
    return expression.Error(
        base.Failure(code=base.ResultCode.PEER_PROTOCOL, detail=detail)
    )
