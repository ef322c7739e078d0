"""The settings file that the platform writes for a process."""

import pathlib
from dataclasses import dataclass

import expression

from trefoilpier import forward

BOOT_VARIABLE = "TREFOILPIER_BOOT"
_DEFAULT_PATH = "/etc/trefoilpier/settings.conf"


@dataclass(slots=True, kw_only=True, frozen=True)
class Address:
    """An IP number and a TCP port."""

    host: str
    port: int


@dataclass(slots=True, kw_only=True, frozen=True)
class BootSettings:
    """What the platform tells a process at its start.

    Attributes:
        node_id: Name of this VM.
        zone: Its availability zone.
        callers: Where callers connect.
        readiness: Where the balancer asks whether this VM is ready.
        store: The platform's store.
        inner_ports: First and last free port for VMs among themselves.
        budget: Terms for extra sends to one service.
        drain_s: Time within which a leaving leaf gets no new requests.
        grace_s: Time from SIGTERM to SIGKILL.
        lease_least_s: Shortest lease that the store grants.
        cores: Processor cores that this VM may use, in usual cores.
        link_mbps: What its network link carries.
    """

    node_id: str
    zone: str
    callers: Address
    readiness: Address
    store: Address
    inner_ports: tuple[int, int]
    budget: forward.BudgetTerms
    drain_s: float
    grace_s: float
    lease_least_s: float
    cores: float
    link_mbps: float


def read_boot(path: str) -> expression.Result[BootSettings, list[str]]:
    """Reads the file; the error lists what is missing or malformed."""
    try:
        text = pathlib.Path(path or _DEFAULT_PATH).read_text()
    except OSError as failed:
        return expression.Error([f"cannot read settings: {failed}"])
    return parse_boot(text)


def parse_boot(text: str) -> expression.Result[BootSettings, list[str]]:
    """Reads the text of a settings file.

    >>> parse_boot("").error[0]
    'node-name is missing'
    """
    value_by_name = {}
    for line in text.splitlines():
        name, found, value = line.partition("=")
        if found:
            value_by_name[name.strip()] = value.strip()
    reader = _Reader(value_by_name=value_by_name)
    settings = BootSettings(
        node_id=reader.text("node-name"),
        zone=reader.text("zone"),
        callers=reader.address("listen-addrs.frontend"),
        readiness=reader.address("listen-addrs.ready"),
        store=reader.address("platform.address"),
        inner_ports=reader.ports("port-range"),
        budget=forward.BudgetTerms(
            share=reader.number("bounds.retry-ratio"),
            window_s=reader.number("bounds.budget-window-s"),
            allowance=reader.number("bounds.retry-extra"),
        ),
        drain_s=reader.number("bounds.drain-ms") / 1000,
        grace_s=reader.number("bounds.grace-s"),
        lease_least_s=reader.number("platform.ttl-min-ms") / 1000,
        # A share of one core that is so many times as fast as usual.
        cores=reader.number("limits.cpu-share") * reader.number("limits.cores"),
        link_mbps=reader.number("limits.link-mbps"),
    )
    if reader.findings:
        return expression.Error(reader.findings)
    return expression.Ok(settings)


class _Reader:
    """Reads typed values and collects what is wrong."""

    __slots__ = ("_value_by_name", "findings")

    def __init__(self, *, value_by_name: dict[str, str]) -> None:
        self._value_by_name = value_by_name
        self.findings: list[str] = []

    def text(self, name: str) -> str:
        value = self._value_by_name.get(name, "")
        if not value:
            self.findings.append(f"{name} is missing")
        return value

    def number(self, name: str) -> float:
        value = self.text(name)
        try:
            return float(value)
        except ValueError:
            if value:
                self.findings.append(f"{name} is no number: {value!r}")
            return 0.0

    def address(self, name: str) -> Address:
        value = self.text(name).partition(",")[0]
        host, _, port = value.rpartition(":")
        if not port.isdigit():
            if value:
                self.findings.append(f"{name} is no address: {value!r}")
            return Address(host="", port=0)
        return Address(host=host, port=int(port))

    def ports(self, name: str) -> tuple[int, int]:
        first, _, last = self.text(name).partition(",")
        if not first.isdigit() or not last.isdigit():
            self.findings.append(f"{name} is no range of ports")
            return (0, 0)
        return (int(first), int(last))
