"""The settings file that the platform writes for each process."""

import pathlib
from dataclasses import dataclass

import expression

from trefoilpier import forward

BOOT_VARIABLE = "TREFOILPIER_BOOT"
_DEFAULT_PATH = "/etc/trefoilpier/settings.conf"
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000
_CONTACT_DEFAULT_S = 4.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaBounds:
    """How far the requests of an account may exceed its quota.

    In any window, all VMs together may send at most (rate x window + burst) x
    (1 + excess) + slack.

    Attributes:
        window_s: Length of the sliding window in seconds.
        excess: Tolerated excess as a share of the quota.
        slack: Requests tolerated in addition.
    """

    window_s: float
    excess: float
    slack: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ColdLeafBounds:
    """How far requests to a cold leaf may exceed the rate that it tolerates.

    In any second, all VMs together may send at most rate x factor + slack.

    Attributes:
        factor: Factor on the rate.
        slack: Requests tolerated in addition.
    """

    factor: float
    slack: float


@dataclass(slots=True, kw_only=True, frozen=True)
class BootSettings:
    """Settings that the platform gives a process at its start.

    Attributes:
        node_id: Name of this VM.
        zone: Availability zone of this VM.
        caller_address: Listening address for callers.
        readiness_address: Listening address for readiness checks.
        store_address: Address of the platform's key-value store.
        peer_ports: First and last port for traffic between VMs.
        budget: Budget for retries and hedges to one service.
        drain_s: Seconds within which a draining leaf must stop getting new
            requests.
        grace_s: Seconds between SIGTERM and SIGKILL.
        min_lease_s: Minimum duration of the store's leases, in seconds.
        cores: CPU capacity of this VM, in cores of usual speed.
        link_mbps: Capacity of this VM's network link in Mbit/s.
        quotas: Bounds on the quotas of client accounts; None if not stated.
        cold_leaves: Bounds on requests to cold leaves; None if not stated.
        contact_s: Seconds after the end of a disturbance of the store from
            which a VM must act by what the store holds.
        revoke_s: Seconds after which accounts that are not confirmed to be
            current must not be used; None if they may be.
    """

    node_id: str
    zone: str
    caller_address: Address
    readiness_address: Address
    store_address: Address
    peer_ports: tuple[int, int]
    budget: forward.RetryBudgetLimits
    drain_s: float
    grace_s: float
    min_lease_s: float
    cores: float
    link_mbps: float
    quotas: QuotaBounds | None = None
    cold_leaves: ColdLeafBounds | None = None
    contact_s: float = _CONTACT_DEFAULT_S
    revoke_s: float | None = None

    @property
    def link_s_per_byte(self) -> float:
        """Seconds for which a byte occupies the link; 0 if not limited."""
        if self.link_mbps <= 0.0:
            return 0.0
        return _BITS_PER_BYTE / (self.link_mbps * _BITS_PER_MEGABIT)


def read_boot(path: str) -> expression.Result[BootSettings, list[str]]:
    """Read a settings file; the error lists missing and malformed settings.

    Args:
        path: Path of the file; empty for the default path.
    """
    try:
        text = pathlib.Path(path or _DEFAULT_PATH).read_text()
    except OSError as error:
        return expression.Error([f"cannot read settings: {error}"])
    return parse_boot(text)


def parse_boot(text: str) -> expression.Result[BootSettings, list[str]]:
    """Parse the text of a settings file.

    >>> parse_boot("").error[0]
    'node-name is missing'
    """
    value_by_name = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            value_by_name[name.strip()] = value.strip()
    reader = _SettingsReader(value_by_name=value_by_name)
    settings = BootSettings(
        node_id=reader.text("node-name"),
        zone=reader.text("zone"),
        caller_address=reader.address("listen-addrs.frontend"),
        readiness_address=reader.address("listen-addrs.ready"),
        store_address=reader.address("platform.address"),
        peer_ports=reader.port_range("port-range"),
        budget=forward.RetryBudgetLimits(
            share=reader.number("bounds.retry-ratio"),
            window_s=reader.number("bounds.budget-window-s"),
            allowance=reader.number("bounds.retry-extra"),
        ),
        drain_s=reader.number("bounds.drain-ms") / 1000,
        grace_s=reader.number("bounds.grace-s"),
        min_lease_s=reader.number("platform.ttl-min-ms") / 1000,
        # limits.cpu-share is a share of one core; limits.cores is the speed
        # of that core relative to a usual one.
        cores=reader.number("limits.cpu-share") * reader.number("limits.cores"),
        link_mbps=reader.number("limits.link-mbps"),
        quotas=_read_quota_bounds(reader),
        cold_leaves=_read_cold_leaf_bounds(reader),
        contact_s=_read_contact_s(reader),
        revoke_s=_read_revoke_s(reader),
    )
    if reader.errors:
        return expression.Error(reader.errors)
    return expression.Ok(settings)


def _read_quota_bounds(reader: "_SettingsReader") -> QuotaBounds | None:
    if not reader.has("bounds.quota-window-s"):
        return None
    return QuotaBounds(
        window_s=reader.number("bounds.quota-window-s"),
        excess=reader.number("bounds.quota-excess"),
        slack=reader.number("bounds.quota-slack"),
    )


def _read_cold_leaf_bounds(reader: "_SettingsReader") -> ColdLeafBounds | None:
    if not reader.has("bounds.cold-excess"):
        return None
    return ColdLeafBounds(
        factor=reader.number("bounds.cold-excess"),
        slack=reader.number("bounds.cold-slack"),
    )


def _read_contact_s(reader: "_SettingsReader") -> float:
    if not reader.has("bounds.contact-ms"):
        return _CONTACT_DEFAULT_S
    return reader.number("bounds.contact-ms") / 1000


def _read_revoke_s(reader: "_SettingsReader") -> float | None:
    if not reader.flag("bounds.strict-revoke"):
        return None
    return reader.number("bounds.revoke-ms") / 1000


class _SettingsReader:
    """Typed access to the settings; collects an error for each bad value."""

    __slots__ = ("_value_by_name", "errors")

    def __init__(self, *, value_by_name: dict[str, str]) -> None:
        self._value_by_name = value_by_name
        self.errors: list[str] = []

    def has(self, name: str) -> bool:
        return bool(self._value_by_name.get(name))

    def flag(self, name: str) -> bool:
        value = self._value_by_name.get(name, "false")
        if value not in ("true", "false"):
            self.errors.append(f"{name} is neither true nor false: {value!r}")
        return value == "true"

    def text(self, name: str) -> str:
        value = self._value_by_name.get(name, "")
        if not value:
            self.errors.append(f"{name} is missing")
        return value

    def number(self, name: str) -> float:
        value = self.text(name)
        try:
            return float(value)
        except ValueError:
            if value:
                self.errors.append(f"{name} is not a number: {value!r}")
            return 0.0

    def address(self, name: str) -> Address:
        value = self.text(name).partition(",")[0]
        host, _, port = value.rpartition(":")
        if not port.isdigit():
            if value:
                self.errors.append(f"{name} is not a host and port: {value!r}")
            return Address(host="", port=0)
        return Address(host=host, port=int(port))

    def port_range(self, name: str) -> tuple[int, int]:
        first, _, last = self.text(name).partition(",")
        if not first.isdigit() or not last.isdigit():
            self.errors.append(f"{name} is not a port range")
            return (0, 0)
        return (int(first), int(last))
