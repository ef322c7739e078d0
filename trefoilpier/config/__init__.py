"""Operator-defined configuration: parsing, validation and publication."""

from trefoilpier.config.account_objects import (
    add_digest,
    digest_text,
    read_digests,
    withdraw_digest,
)
from trefoilpier.config.build import build_config_set
from trefoilpier.config.bundle import Bundle, Manifest, RawObject
from trefoilpier.config.finding import Finding
from trefoilpier.config.ini import read_object_files
from trefoilpier.config.model import (
    Block,
    ConfigSet,
    Fleet,
    Leaf,
    Merge,
    Mode,
    Policy,
    Service,
    ShardGroup,
)
from trefoilpier.config.publish import (
    Head,
    Publisher,
    PublishOutcome,
    PublishState,
    fetch_bundle,
    fetch_head,
)
from trefoilpier.config.settings import NodeSettings, read_settings

__all__ = [
    "Block",
    "Bundle",
    "ConfigSet",
    "Finding",
    "Fleet",
    "Head",
    "Leaf",
    "Manifest",
    "Merge",
    "Mode",
    "NodeSettings",
    "Policy",
    "PublishOutcome",
    "PublishState",
    "Publisher",
    "RawObject",
    "Service",
    "ShardGroup",
    "add_digest",
    "build_config_set",
    "digest_text",
    "fetch_bundle",
    "fetch_head",
    "read_digests",
    "read_object_files",
    "read_settings",
    "withdraw_digest",
]
