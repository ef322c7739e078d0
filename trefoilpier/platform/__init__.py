"""Adapters to the platform's store, settings file and HTTP headers."""

from trefoilpier.platform.boot import (
    BOOT_VARIABLE,
    Address,
    BootSettings,
    ColdLeafBounds,
    QuotaBounds,
    parse_boot,
    read_boot,
)
from trefoilpier.platform.entries import (
    EVACUATION_PREFIX,
    LEAF_PREFIX,
    ROUTES_KEY,
    decode_evacuation,
    decode_leaf,
    decode_routes,
)
from trefoilpier.platform.headers import PlatformWire
from trefoilpier.platform.kv import PlatformStore

__all__ = [
    "BOOT_VARIABLE",
    "Address",
    "EVACUATION_PREFIX",
    "LEAF_PREFIX",
    "ROUTES_KEY",
    "BootSettings",
    "ColdLeafBounds",
    "PlatformStore",
    "PlatformWire",
    "QuotaBounds",
    "decode_evacuation",
    "decode_leaf",
    "decode_routes",
    "parse_boot",
    "read_boot",
]
