"""Builds and checks a whole set of objects, reporting every mistake."""

import datetime
import ipaddress
import math
import re
from collections.abc import Iterable

import expression

from trefoilpier.config import blocks, bundle, findings, model

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|min)")
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0}
_DURATION_ALLOWED = "a number with ms, s or min, such as 320ms"
_LONGEST_DEADLINE = datetime.timedelta(minutes=5)
_PORT_MAX = 65535
_DEFAULT_GATHERERS = 3
_SLOT_HEADROOM = 1.8
_DEFAULT_SHARD_KEY = re.compile(r"shard\.(\d+)")
_KEYS_BY_KIND = {
    "fleet": {"vms", "spare"},
    "place": {"region", "availability_zone", "leaves"},
    "shard_group": {
        "epoch",
        "connection_limit",
        "slots",
        "block_size",
        "gatherers",
    },
    "policy": {
        "based_on",
        "mode",
        "soft_deadline",
        "hedge_budget",
        "retry_budget",
        "minimum_coverage",
    },
    "service": {"repeatable", "merge", "shard_group", "policy", "deadline"},
}


def parse_duration(text: str) -> datetime.timedelta | None:
    """Reads a duration; returns None when the text is none.

    >>> parse_duration("320ms")
    datetime.timedelta(microseconds=320000)
    >>> parse_duration("soon") is None
    True
    """
    match = _DURATION.fullmatch(text.strip())
    if match is None:
        return None
    seconds = float(match[1]) * _SECONDS_BY_UNIT[match[2]]
    return datetime.timedelta(seconds=seconds)


class _Section:
    """Reads the keys of one object and notes what is wrong."""

    __slots__ = ("_found", "raw")

    def __init__(
        self, *, raw: bundle.RawObject, found: list[findings.Finding]
    ) -> None:
        self.raw = raw
        self._found = found

    def report(self, key: str, problem: str, allowed: str = "") -> None:
        """Adds a finding for a key of this section."""
        self._found.append(
            findings.Finding(
                file=self.raw.file or "published set",
                section=self.raw.section,
                key=key,
                problem=problem,
                allowed=allowed,
            )
        )

    def text(self, key: str, default: str | None = None) -> str:
        """Returns the text of a key, or the default when it is absent."""
        value = self.raw.text_by_key.get(key, default)
        if value is None or not value.strip():
            self.report(key, "is missing")
            return ""
        return value.strip()

    def integer(self, key: str, least: int, default: int | None = None) -> int:
        """Returns a whole number that is at least ``least``."""
        given = None if default is None else str(default)
        text = self.text(key, given)
        if not text:
            return least
        if not text.isdecimal() or int(text) < least:
            self.report(key, f"{text!r} is no such number", f"{least} or more")
            return least
        return int(text)

    def share(self, key: str, default: str) -> float:
        """Returns a share between 0 and 1."""
        text = self.text(key, default)
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0.0 <= value <= 1.0:
            self.report(key, f"{text!r} is no share", "0 to 1")
            return 0.0
        return value

    def duration(self, key: str, default: str | None) -> datetime.timedelta:
        """Returns a duration above zero, up to five minutes."""
        text = self.text(key, default)
        value = parse_duration(text) if text else None
        if value is None or not (
            datetime.timedelta(0) < value <= _LONGEST_DEADLINE
        ):
            if text:
                self.report(key, f"{text!r} is refused", _DURATION_ALLOWED)
            return datetime.timedelta(seconds=1)
        return value

    def choice(self, key: str, allowed: Iterable[str], default: str) -> str:
        """Returns one of the allowed words."""
        words = list(allowed)
        text = self.text(key, default)
        if text not in words:
            self.report(key, f"{text!r} is refused", ", ".join(words))
            return words[0]
        return text

    def unknown_keys(self) -> None:
        """Reports keys that this kind of object does not have."""
        known = _KEYS_BY_KIND[self.raw.kind]
        for key in self.raw.text_by_key:
            if key in known:
                continue
            if self.raw.kind == "shard_group" and _DEFAULT_SHARD_KEY.fullmatch(
                key
            ):
                continue
            self.report(key, "is not a key", ", ".join(sorted(known)))


class _Builder:
    """Holds the objects while the set is put together."""

    __slots__ = (
        "_previous",
        "_same_places",
        "found",
        "leaf_by_id",
        "raw_by_section",
        "sections_by_kind",
    )

    def __init__(
        self,
        *,
        objects: Iterable[bundle.RawObject],
        previous: model.ConfigSet | None,
    ) -> None:
        """Sorts the objects.

        Args:
            objects: All objects of the new set.
            previous: A set whose built parts serve again where nothing that
                they were built from has changed.
        """
        self.raw_by_section: dict[str, bundle.RawObject] = {}
        self.found: list[findings.Finding] = []
        self.sections_by_kind: dict[str, list[_Section]] = {
            kind: [] for kind in _KEYS_BY_KIND
        }
        self.leaf_by_id: dict[str, model.Leaf] = {}
        for raw in objects:
            self.raw_by_section[raw.section] = raw
            section = _Section(raw=raw, found=self.found)
            if raw.kind not in self.sections_by_kind:
                section.report("", "is of an unknown kind")
                continue
            self.sections_by_kind[raw.kind].append(section)
            section.unknown_keys()
        self._previous = previous
        self._same_places = previous is not None and all(
            self._same(kind) for kind in ("fleet", "place")
        )

    def _same(self, kind: str) -> bool:
        """Tells whether all objects of a kind are as in the previous set."""
        if self._previous is None:
            return False
        prefix = f"{kind} "
        before = {
            section: raw
            for section, raw in self._previous.raw_by_section.items()
            if section.startswith(prefix)
        }
        now = {s.raw.section: s.raw for s in self.sections_by_kind[kind]}
        return before == now

    def _built_group(self, section: "_Section") -> model.ShardGroup | None:
        """Returns the previous shard group if it would be built the same."""
        if self._previous is None or not self._same_places:
            return None
        before = self._previous.raw_by_section.get(section.raw.section)
        if before != section.raw:
            return None
        return self._previous.shard_group_by_name.get(section.raw.name)

    def fleet(self) -> model.Fleet:
        """Builds the one fleet object."""
        sections = self.sections_by_kind["fleet"]
        if len(sections) != 1:
            self.found.append(
                findings.Finding(
                    file=sections[1].raw.file if sections else "set",
                    section="fleet NAME",
                    key="",
                    problem=f"{len(sections)} fleets",
                    allowed="exactly one",
                )
            )
        if not sections:
            return model.Fleet(name="", vms=1, spare=1)
        section = sections[0]
        return model.Fleet(
            name=section.raw.name,
            vms=section.integer("vms", 1),
            spare=section.integer("spare", 1, 1),
        )

    def places(self) -> None:
        """Builds the leaves of every place."""
        if self._previous is not None and self._same_places:
            self.leaf_by_id = self._previous.leaf_by_id
            return
        for section in self.sections_by_kind["place"]:
            region = section.text("region")
            zone = section.text("availability_zone")
            for line in section.text("leaves").splitlines():
                self._leaf(section, line, region, zone)

    def _leaf(
        self, section: _Section, line: str, region: str, zone: str
    ) -> None:
        """Builds the leaf of one line: an id, then an address."""
        words = line.split()
        if not words:
            return
        host, _, port = words[-1].rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            valid = 0 < int(port) <= _PORT_MAX and len(words) == 2
        except ValueError:
            valid = False
        if not valid:
            section.report("leaves", f"{line!r} is refused", "ID IP:PORT")
            return
        leaf_id = words[0]
        if leaf_id in self.leaf_by_id:
            section.report("leaves", f"leaf {leaf_id!r} is there twice")
            return
        self.leaf_by_id[leaf_id] = model.Leaf(
            id=leaf_id,
            host=host.strip("[]"),
            port=int(port),
            region=region,
            zone=zone,
            place=section.raw.name,
        )

    def policies(self) -> dict[str, model.Policy]:
        """Builds the policies, each over the one it is based on."""
        sections = self.sections_by_kind["policy"]
        raw_by_name = {section.raw.name: section.raw for section in sections}
        policy_by_name = {}
        for section in sections:
            merged = self._inherit(section, raw_by_name)
            policy_by_name[section.raw.name] = self._policy(merged)
        return policy_by_name

    def _inherit(
        self, section: _Section, raw_by_name: dict[str, bundle.RawObject]
    ) -> _Section:
        """Fills keys from the chain of ``based_on``; reports a cycle."""
        text_by_key = dict(section.raw.text_by_key)
        seen = [section.raw.name]
        parent = text_by_key.get("based_on", "").strip()
        while parent:
            if parent in seen:
                section.report(
                    "based_on", "cycle " + " > ".join([*seen, parent])
                )
                break
            if parent not in raw_by_name:
                section.report("based_on", f"there is no policy {parent!r}")
                break
            seen.append(parent)
            inherited = raw_by_name[parent].text_by_key
            for key, text in inherited.items():
                text_by_key.setdefault(key, text)
            parent = inherited.get("based_on", "").strip()
        raw = bundle.RawObject(
            kind="policy",
            name=section.raw.name,
            text_by_key=text_by_key,
            file=section.raw.file,
        )
        return _Section(raw=raw, found=self.found)

    def _policy(self, section: _Section) -> model.Policy:
        """Builds one policy."""
        return model.Policy(
            name=section.raw.name,
            mode=model.Mode(section.choice("mode", model.Mode, "coverage")),
            soft_deadline=section.duration("soft_deadline", "200ms"),
            hedge_budget=section.share("hedge_budget", "0.05"),
            retry_budget=section.share("retry_budget", "0.05"),
            minimum_coverage=section.share("minimum_coverage", "0"),
        )

    def shard_groups(self, fleet: model.Fleet) -> dict[str, model.ShardGroup]:
        """Builds the shard groups with their blocks."""
        owner_by_leaf: dict[str, str] = {}
        group_by_name = {}
        for section in self.sections_by_kind["shard_group"]:
            group = self._built_group(section)
            if group is None:
                group = self._shard_group(section, fleet)
            group_by_name[group.name] = group
            for leaf_ids in group.leaf_ids_by_shard:
                for leaf_id in leaf_ids:
                    owner = owner_by_leaf.setdefault(leaf_id, group.name)
                    if owner != group.name:
                        section.report(
                            "", f"leaf {leaf_id!r} belongs to {owner!r}"
                        )
        return group_by_name

    def _shard_group(
        self, section: _Section, fleet: model.Fleet
    ) -> model.ShardGroup:
        """Builds one shard group."""
        name = section.raw.name
        limit = section.integer("connection_limit", 1)
        if limit < 1 + fleet.spare:
            section.report(
                "connection_limit",
                f"{limit} is too small for one gatherer and the spare VMs",
                f"{1 + fleet.spare} or more",
            )
            limit = 1 + fleet.spare
        most = section.integer("gatherers", 1, _DEFAULT_GATHERERS)
        gatherers = min(fleet.vms, limit - fleet.spare, most)
        replicas = self._replicas(section)
        leaves = {leaf_id for ids in replicas for leaf_id in ids}
        default_size = max(1, math.ceil(len(leaves) / fleet.vms))
        size = section.integer("block_size", 1, default_size)
        slots = section.integer("slots", 1)
        made = blocks.make_blocks(
            group=name, leaf_ids_by_shard=replicas, block_size=size
        )
        block_by_shard = {s: block for block in made for s in block.shards}
        return model.ShardGroup(
            name=name,
            epoch=section.integer("epoch", 1, 1),
            leaf_ids_by_shard=replicas,
            connection_limit=limit,
            slots=slots,
            slot_share=_slot_share(slots, gatherers),
            gatherers=gatherers,
            connection_share=limit // (gatherers + fleet.spare),
            blocks=made,
            block_by_shard=tuple(
                block_by_shard[shard] for shard in range(len(replicas))
            ),
        )

    def _replicas(self, section: _Section) -> tuple[tuple[str, ...], ...]:
        """Reads ``shard.0``, ``shard.1``, ... without a gap."""
        text_by_shard = {}
        for key, text in section.raw.text_by_key.items():
            match = _DEFAULT_SHARD_KEY.fullmatch(key)
            if match:
                text_by_shard[int(match[1])] = text
        if not text_by_shard:
            section.report("shard.0", "is missing", "the ids of its replicas")
            return ()
        replicas = []
        for shard in range(max(text_by_shard) + 1):
            ids = tuple(text_by_shard.get(shard, "").split())
            if not ids:
                section.report(f"shard.{shard}", "has no replica")
            if len(set(ids)) != len(ids):
                section.report(f"shard.{shard}", "names a leaf twice")
            for leaf_id in ids:
                if leaf_id not in self.leaf_by_id:
                    section.report(
                        f"shard.{shard}", f"there is no leaf {leaf_id!r}"
                    )
            replicas.append(ids)
        return tuple(replicas)

    def services(
        self,
        group_by_name: dict[str, model.ShardGroup],
        policy_by_name: dict[str, model.Policy],
    ) -> dict[str, model.Service]:
        """Builds the services and checks what they refer to."""
        service_by_name = {}
        for section in self.sections_by_kind["service"]:
            service = model.Service(
                name=section.raw.name,
                repeatable=section.choice("repeatable", ["yes", "no"], "yes")
                == "yes",
                merge=model.Merge(section.choice("merge", model.Merge, "top")),
                shard_group=section.text("shard_group"),
                policy=section.text("policy"),
                deadline=section.duration("deadline", None),
            )
            service_by_name[service.name] = service
            if service.shard_group not in group_by_name:
                section.report(
                    "shard_group",
                    f"there is no shard_group {service.shard_group!r}",
                    ", ".join(sorted(group_by_name)),
                )
            policy = policy_by_name.get(service.policy)
            if policy is None:
                section.report(
                    "policy",
                    f"there is no policy {service.policy!r}",
                    ", ".join(sorted(policy_by_name)),
                )
            elif policy.soft_deadline > service.deadline:
                section.report(
                    "deadline", "is before its policy's soft_deadline"
                )
            if not service.repeatable and service.merge != "single":
                section.report(
                    "merge", "must be single when not repeatable", "single"
                )
        return service_by_name


def _slot_share(slots: int, gatherers: int) -> int:
    """Returns the calls that one gatherer may have out at a leaf.

    All gatherers together may have 1.8 times the leaf's slots out, so that a
    slot does not stand empty while an answer and the next call travel.

    >>> _slot_share(2, 3), _slot_share(5, 3), _slot_share(2, 7)
    (2, 3, 1)
    """
    return min(slots, math.ceil(_SLOT_HEADROOM * slots / gatherers))


def build_config_set(
    *,
    version: int,
    objects: Iterable[bundle.RawObject],
    previous: model.ConfigSet | None = None,
) -> expression.Result[model.ConfigSet, list[findings.Finding]]:
    """Builds one version from its objects.

    Args:
        version: The number the set is published under.
        objects: All objects of the set.
        previous: A set that was built without findings; its places and shard
            groups serve again where their objects are the same.

    Returns:
        The set, or every mistake that was found.

    >>> build_config_set(version=1, objects=[]).is_error()
    True
    """
    builder = _Builder(objects=objects, previous=previous)
    fleet = builder.fleet()
    builder.places()
    policy_by_name = builder.policies()
    group_by_name = builder.shard_groups(fleet)
    service_by_name = builder.services(group_by_name, policy_by_name)
    if builder.found:
        return expression.Error(builder.found)
    return expression.Ok(
        model.ConfigSet(
            version=version,
            fleet=fleet,
            service_by_name=service_by_name,
            shard_group_by_name=group_by_name,
            policy_by_name=policy_by_name,
            leaf_by_id=builder.leaf_by_id,
            raw_by_section=builder.raw_by_section,
            group_by_leaf_id={
                leaf_id: group
                for group in group_by_name.values()
                for leaf_ids in group.leaf_ids_by_shard
                for leaf_id in leaf_ids
            },
        )
    )
