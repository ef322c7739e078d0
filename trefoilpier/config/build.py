"""Construction and validation of a configuration from its objects.

All validation errors are collected and reported together.
"""

import datetime
import ipaddress
import math
import re
from collections.abc import Iterable

import expression

from trefoilpier.config import (
    account_objects,
    blocks,
    bundle,
    finding,
    model,
)

_DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s|min)")
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0}
_DURATION_FORMAT = "a number with ms, s or min, such as 320ms"
_DURATION_MAX = datetime.timedelta(minutes=5)
_PORT_MAX = 65535
_DEFAULT_GATHERERS = 3
_SLOT_OVERCOMMIT = 1.8
_SHARD_KEY_PATTERN = re.compile(r"shard\.(\d+)")
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
    "service": {
        "repeatable",
        "merge",
        "shard_group",
        "policy",
        "deadline",
        "anonymous",
    },
    account_objects.KIND: {account_objects.DIGESTS_KEY},
}


def parse_duration(text: str) -> datetime.timedelta | None:
    """Parse a duration; return None if the text is not a valid duration.

    >>> parse_duration("320ms")
    datetime.timedelta(microseconds=320000)
    >>> parse_duration("soon") is None
    True
    """
    match = _DURATION_PATTERN.fullmatch(text.strip())
    if match is None:
        return None
    seconds = float(match[1]) * _SECONDS_BY_UNIT[match[2]]
    return datetime.timedelta(seconds=seconds)


class _SectionReader:
    """Parser of the values of one object, which collects validation errors.

    The methods that parse a value return a valid replacement after an error,
    so that validation can continue.

    Attributes:
        raw: The object.
    """

    __slots__ = ("_findings", "raw")

    def __init__(
        self, *, raw: bundle.RawObject, findings: list[finding.Finding]
    ) -> None:
        self.raw = raw
        self._findings = findings

    def report(self, key: str, problem: str, allowed: str = "") -> None:
        """Add a validation error for a key of this section."""
        self._findings.append(
            finding.Finding(
                file=self.raw.file or "published configuration",
                section=self.raw.section,
                key=key,
                problem=problem,
                allowed=allowed,
            )
        )

    def text(self, key: str, default: str | None = None) -> str:
        """Return the text of a key, or the default if the key is absent."""
        value = self.raw.text_by_key.get(key, default)
        if value is None or not value.strip():
            self.report(key, "is missing")
            return ""
        return value.strip()

    def integer(
        self, key: str, minimum: int, default: int | None = None
    ) -> int:
        """Return an integer that is at least ``minimum``."""
        default_text = None if default is None else str(default)
        text = self.text(key, default_text)
        if not text:
            return minimum
        if not text.isdecimal() or int(text) < minimum:
            self.report(
                key, f"{text!r} is not a valid integer", f"{minimum} or more"
            )
            return minimum
        return int(text)

    def fraction(self, key: str, default: str) -> float:
        """Return a number between 0 and 1."""
        text = self.text(key, default)
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0.0 <= value <= 1.0:
            self.report(key, f"{text!r} is not a valid fraction", "0 to 1")
            return 0.0
        return value

    def duration(self, key: str, default: str | None) -> datetime.timedelta:
        """Return a duration above zero and up to five minutes."""
        text = self.text(key, default)
        value = parse_duration(text) if text else None
        if value is None or not (
            datetime.timedelta(0) < value <= _DURATION_MAX
        ):
            if text:
                self.report(
                    key, f"{text!r} is not a valid duration", _DURATION_FORMAT
                )
            return datetime.timedelta(seconds=1)
        return value

    def choice(self, key: str, allowed: Iterable[str], default: str) -> str:
        """Return one of the allowed values."""
        choices = list(allowed)
        text = self.text(key, default)
        if text not in choices:
            self.report(
                key, f"{text!r} is not a valid value", ", ".join(choices)
            )
            return choices[0]
        return text

    def report_unknown_keys(self) -> None:
        """Report keys that are not defined for this kind of object."""
        known_keys = _KEYS_BY_KIND[self.raw.kind]
        for key in self.raw.text_by_key:
            if key in known_keys:
                continue
            if self.raw.kind == "shard_group" and _SHARD_KEY_PATTERN.fullmatch(
                key
            ):
                continue
            self.report(
                key, "is not a known key", ", ".join(sorted(known_keys))
            )


class _ConfigSetBuilder:
    """Builder of a `model.ConfigSet`.

    Attributes:
        findings: The validation errors found so far.
        leaf_by_id: Leaves of all places.
        raw_by_section: All objects by section name.
        sections_by_kind: Parsers of the objects by kind.
    """

    __slots__ = (
        "_previous",
        "_fleet_and_places_unchanged",
        "findings",
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
        """Group the objects by kind.

        Args:
            objects: All objects of the new version.
            previous: A version whose leaves and shard groups are reused if
                the objects that they were built from are unchanged.
        """
        self.raw_by_section: dict[str, bundle.RawObject] = {}
        self.findings: list[finding.Finding] = []
        self.sections_by_kind: dict[str, list[_SectionReader]] = {
            kind: [] for kind in _KEYS_BY_KIND
        }
        self.leaf_by_id: dict[str, model.Leaf] = {}
        for raw in objects:
            self.raw_by_section[raw.section] = raw
            section = _SectionReader(raw=raw, findings=self.findings)
            if raw.kind not in self.sections_by_kind:
                section.report("", "has an unknown kind")
                continue
            self.sections_by_kind[raw.kind].append(section)
            section.report_unknown_keys()
        self._previous = previous
        self._fleet_and_places_unchanged = previous is not None and all(
            self._is_unchanged(kind) for kind in ("fleet", "place")
        )

    def _is_unchanged(self, kind: str) -> bool:
        """Return whether all objects of a kind equal the previous ones."""
        if self._previous is None:
            return False
        prefix = f"{kind} "
        previous_objects = {
            section: raw
            for section, raw in self._previous.raw_by_section.items()
            if section.startswith(prefix)
        }
        new_objects = {
            s.raw.section: s.raw for s in self.sections_by_kind[kind]
        }
        return previous_objects == new_objects

    def _reusable_shard_group(
        self, section: "_SectionReader"
    ) -> model.ShardGroup | None:
        """Return the previous shard group if it can be reused.

        A shard group depends on its own object, the fleet and the places.
        """
        if self._previous is None or not self._fleet_and_places_unchanged:
            return None
        previous_raw = self._previous.raw_by_section.get(section.raw.section)
        if previous_raw != section.raw:
            return None
        return self._previous.shard_group_by_name.get(section.raw.name)

    def build_fleet(self) -> model.Fleet:
        """Build the fleet; report an error unless exactly one is defined."""
        sections = self.sections_by_kind["fleet"]
        if len(sections) != 1:
            self.findings.append(
                finding.Finding(
                    file=sections[1].raw.file if sections else "set",
                    section="fleet NAME",
                    key="",
                    problem=f"{len(sections)} fleet sections",
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

    def build_leaves(self) -> None:
        """Build the leaves of every place."""
        if self._previous is not None and self._fleet_and_places_unchanged:
            self.leaf_by_id = self._previous.leaf_by_id
            return
        for section in self.sections_by_kind["place"]:
            region = section.text("region")
            zone = section.text("availability_zone")
            for line in section.text("leaves").splitlines():
                self._build_leaf(section, line, region, zone)

    def _build_leaf(
        self, section: _SectionReader, line: str, region: str, zone: str
    ) -> None:
        """Build a leaf from a line that consists of an id and an address."""
        tokens = line.split()
        if not tokens:
            return
        host, _, port = tokens[-1].rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            valid = 0 < int(port) <= _PORT_MAX and len(tokens) == 2
        except ValueError:
            valid = False
        if not valid:
            section.report(
                "leaves", f"{line!r} is not a valid leaf", "ID IP:PORT"
            )
            return
        leaf_id = tokens[0]
        if leaf_id in self.leaf_by_id:
            section.report(
                "leaves", f"leaf {leaf_id!r} is defined more than once"
            )
            return
        self.leaf_by_id[leaf_id] = model.Leaf(
            id=leaf_id,
            host=host.strip("[]"),
            port=int(port),
            region=region,
            zone=zone,
            place=section.raw.name,
        )

    def build_policies(self) -> dict[str, model.Policy]:
        """Build the policies with the values that they inherit."""
        sections = self.sections_by_kind["policy"]
        raw_by_name = {section.raw.name: section.raw for section in sections}
        policy_by_name = {}
        for section in sections:
            resolved = self._resolve_inheritance(section, raw_by_name)
            policy_by_name[section.raw.name] = self._build_policy(resolved)
        return policy_by_name

    def _resolve_inheritance(
        self, section: _SectionReader, raw_by_name: dict[str, bundle.RawObject]
    ) -> _SectionReader:
        """Add the keys that are inherited along the ``based_on`` chain."""
        text_by_key = dict(section.raw.text_by_key)
        chain = [section.raw.name]
        parent = text_by_key.get("based_on", "").strip()
        while parent:
            if parent in chain:
                section.report(
                    "based_on",
                    "inheritance cycle " + " > ".join([*chain, parent]),
                )
                break
            if parent not in raw_by_name:
                section.report(
                    "based_on", f"refers to unknown policy {parent!r}"
                )
                break
            chain.append(parent)
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
        return _SectionReader(raw=raw, findings=self.findings)

    def _build_policy(self, section: _SectionReader) -> model.Policy:
        """Build one policy."""
        return model.Policy(
            name=section.raw.name,
            mode=model.Mode(section.choice("mode", model.Mode, "coverage")),
            soft_deadline=section.duration("soft_deadline", "200ms"),
            hedge_budget=section.fraction("hedge_budget", "0.05"),
            retry_budget=section.fraction("retry_budget", "0.05"),
            minimum_coverage=section.fraction("minimum_coverage", "0"),
        )

    def build_shard_groups(
        self, fleet: model.Fleet
    ) -> dict[str, model.ShardGroup]:
        """Build the shard groups and check that they share no leaf."""
        owner_by_leaf: dict[str, str] = {}
        group_by_name = {}
        for section in self.sections_by_kind["shard_group"]:
            group = self._reusable_shard_group(section)
            if group is None:
                group = self._build_shard_group(section, fleet)
            group_by_name[group.name] = group
            for leaf_ids in group.leaf_ids_by_shard:
                for leaf_id in leaf_ids:
                    owner = owner_by_leaf.setdefault(leaf_id, group.name)
                    if owner != group.name:
                        section.report(
                            "", f"leaf {leaf_id!r} already belongs to {owner!r}"
                        )
        return group_by_name

    def _build_shard_group(
        self, section: _SectionReader, fleet: model.Fleet
    ) -> model.ShardGroup:
        """Build one shard group with its blocks."""
        name = section.raw.name
        limit = section.integer("connection_limit", 1)
        if limit < 1 + fleet.spare:
            section.report(
                "connection_limit",
                f"{limit} is too low for one gatherer and the spare VMs",
                f"{1 + fleet.spare} or more",
            )
            limit = 1 + fleet.spare
        gatherers_max = section.integer("gatherers", 1, _DEFAULT_GATHERERS)
        gatherers = min(fleet.vms, limit - fleet.spare, gatherers_max)
        replicas = self._read_replicas(section)
        leaves = {
            leaf_id for replica_ids in replicas for leaf_id in replica_ids
        }
        default_leaves_per_block = max(1, math.ceil(len(leaves) / fleet.vms))
        leaves_per_block = section.integer(
            "block_size", 1, default_leaves_per_block
        )
        slots = section.integer("slots", 1)
        group_blocks = blocks.make_blocks(
            group=name, leaf_ids_by_shard=replicas, block_size=leaves_per_block
        )
        block_by_shard = {
            s: block for block in group_blocks for s in block.shards
        }
        return model.ShardGroup(
            name=name,
            epoch=section.integer("epoch", 1, 1),
            leaf_ids_by_shard=replicas,
            connection_limit=limit,
            slots=slots,
            calls_per_gatherer=_calls_per_gatherer(slots, gatherers),
            gatherers=gatherers,
            connections_per_node=limit // (gatherers + fleet.spare),
            blocks=group_blocks,
            block_by_shard=tuple(
                block_by_shard[shard] for shard in range(len(replicas))
            ),
        )

    def _read_replicas(
        self, section: _SectionReader
    ) -> tuple[tuple[str, ...], ...]:
        """Return the leaf ids of ``shard.0``, ``shard.1`` and so on.

        The shard numbers must be consecutive.
        """
        text_by_shard = {}
        for key, text in section.raw.text_by_key.items():
            match = _SHARD_KEY_PATTERN.fullmatch(key)
            if match:
                text_by_shard[int(match[1])] = text
        if not text_by_shard:
            section.report("shard.0", "is missing", "the ids of its replicas")
            return ()
        replicas = []
        for shard in range(max(text_by_shard) + 1):
            replica_ids = tuple(text_by_shard.get(shard, "").split())
            if not replica_ids:
                section.report(f"shard.{shard}", "has no replica")
            if len(set(replica_ids)) != len(replica_ids):
                section.report(f"shard.{shard}", "lists a leaf more than once")
            for leaf_id in replica_ids:
                if leaf_id not in self.leaf_by_id:
                    section.report(
                        f"shard.{shard}", f"refers to unknown leaf {leaf_id!r}"
                    )
            replicas.append(replica_ids)
        return tuple(replicas)

    def build_services(
        self,
        group_by_name: dict[str, model.ShardGroup],
        policy_by_name: dict[str, model.Policy],
    ) -> dict[str, model.Service]:
        """Build the services and check their references."""
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
                anonymous=section.choice("anonymous", ["yes", "no"], "no")
                == "yes",
            )
            service_by_name[service.name] = service
            if service.shard_group not in group_by_name:
                section.report(
                    "shard_group",
                    f"refers to unknown shard_group {service.shard_group!r}",
                    ", ".join(sorted(group_by_name)),
                )
            policy = policy_by_name.get(service.policy)
            if policy is None:
                section.report(
                    "policy",
                    f"refers to unknown policy {service.policy!r}",
                    ", ".join(sorted(policy_by_name)),
                )
            elif policy.soft_deadline > service.deadline:
                section.report(
                    "deadline",
                    "is shorter than the soft_deadline of the policy",
                )
            if not service.repeatable and service.merge != "single":
                section.report(
                    "merge",
                    "must be single if the service is not repeatable",
                    "single",
                )
        return service_by_name

    def build_accounts(self) -> dict[str, str] | None:
        """Return the accounts by digest; None if there is no account."""
        sections = self.sections_by_kind[account_objects.KIND]
        if not sections:
            return None
        account_by_key_digest: dict[str, str] = {}
        for section in sections:
            problem = account_objects.find_digest_problem(
                section.raw, account_by_key_digest
            )
            if problem:
                section.report(account_objects.DIGESTS_KEY, problem)
        return account_by_key_digest


def _calls_per_gatherer(slots: int, gatherers: int) -> int:
    """Return how many calls one gatherer may have in flight to a leaf.

    All gatherers together may have 1.8 times as many calls in flight as the
    leaf has slots, so that a slot does not idle while a response and the next
    call are on the network.

    >>> (_calls_per_gatherer(2, 3), _calls_per_gatherer(5, 3),
    ...     _calls_per_gatherer(2, 7))
    (2, 3, 1)
    """
    return min(slots, math.ceil(_SLOT_OVERCOMMIT * slots / gatherers))


def build_config_set(
    *,
    version: int,
    objects: Iterable[bundle.RawObject],
    previous: model.ConfigSet | None = None,
) -> expression.Result[model.ConfigSet, list[finding.Finding]]:
    """Build and validate one configuration version.

    Args:
        version: Version number under which it is published.
        objects: All objects of the version.
        previous: A valid version, whose leaves and shard groups are reused if
            the objects that they were built from are unchanged.

    Returns:
        The configuration, or all validation errors.

    >>> build_config_set(version=1, objects=[]).is_error()
    True
    """
    builder = _ConfigSetBuilder(objects=objects, previous=previous)
    fleet = builder.build_fleet()
    builder.build_leaves()
    policy_by_name = builder.build_policies()
    group_by_name = builder.build_shard_groups(fleet)
    service_by_name = builder.build_services(group_by_name, policy_by_name)
    account_by_key_digest = builder.build_accounts()
    if builder.findings:
        return expression.Error(builder.findings)
    return expression.Ok(
        model.ConfigSet(
            version=version,
            fleet=fleet,
            service_by_name=service_by_name,
            shard_group_by_name=group_by_name,
            policy_by_name=policy_by_name,
            leaf_by_id=builder.leaf_by_id,
            account_by_key_digest=account_by_key_digest,
            raw_by_section=builder.raw_by_section,
            group_by_leaf_id={
                leaf_id: group
                for group in group_by_name.values()
                for leaf_ids in group.leaf_ids_by_shard
                for leaf_id in leaf_ids
            },
        )
    )
