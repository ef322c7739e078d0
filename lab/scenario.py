"""Scenarios: the INI files that describe experiments."""

import configparser
import dataclasses
import pathlib
from dataclasses import dataclass, field
from typing import Any

import expression

from trefoilpier import config, forward
from trefoilpier.tier import policy_file

FAULT_KINDS = ("slow", "shed", "lose", "stop")


@dataclass(slots=True, kw_only=True, frozen=True)
class Deployment:
    """Sizes of a deployment.

    Attributes:
        vms: Entry VMs.
        zones: Availability zones, over which VMs are spread. The replicas of a
            shard stand in neighbouring zones, from another one for each shard.
        shards: Shards of the index.
        replicas: Leaves of each shard.
        slots: Requests that a leaf runs at a time.
        queue: Requests that a leaf queues.
        connections: Connections that a leaf accepts.
        connect_s: Time to open a connection to a leaf, in seconds.
        pause_s: Length of a leaf's pause, in seconds.
        pause_every_s: Interval between two pauses of a leaf, in seconds.
        retry_share: Retries and hedges allowed per request.
        retry_allowance: Retries and hedges allowed in addition, per shard and
            ten seconds, for all VMs together.
    """

    vms: int = 8
    zones: int = 3
    shards: int = 10
    replicas: int = 3
    slots: int = 2
    queue: int = 12
    connections: int = 26
    connect_s: float = 0.006
    pause_s: float = 0.1
    pause_every_s: float = 2.4
    retry_share: float = 0.2
    retry_allowance: float = 56.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Load:
    """Arrivals of requests.

    Attributes:
        rate: Requests per second.
        seconds: Length of the load.
        warm_up_s: Seconds at the start that do not count.
        retries: Further attempts that a caller makes.
    """

    rate: float = 90.0
    seconds: float = 20.0
    warm_up_s: float = 2.0
    retries: int = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestKind:
    """A kind of gathered request.

    Attributes:
        name: Name of the kind.
        weight: Its share of the requests, relative to the other kinds.
        work_s: Median work of a leaf, in seconds.
        sigma: Standard deviation of the logarithm of the work.
        objective_s: Latency objective in seconds.
        deadline_s: Caller's deadline in seconds.
        min_coverage: Minimum share of the shards.
        late_credit: Credit of a late answer.
    """

    name: str
    weight: float = 1.0
    work_s: float = 0.01
    sigma: float = 0.35
    objective_s: float = 0.09
    deadline_s: float = 1.2
    min_coverage: float = 0.89
    late_credit: float = 0.1


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """A fault of some leaves or VMs.

    Attributes:
        name: Name of the fault.
        kind: ``slow`` (leaves), ``shed`` (leaves reject a share of the
            requests), ``lose`` (leaves lose a share of the answers) or ``stop``
            (leaves do not answer).
        at: Start in seconds after the start of the load.
        seconds: Length.
        share: Share of all leaves, chosen at random.
        shard: The shard whose first leaves are affected; -1 for all shards.
        factor: Factor on the work, or share of the requests.
    """

    name: str
    kind: str = "slow"
    at: float = 0.0
    seconds: float = 5.0
    share: float = 0.15
    shard: int = -1
    factor: float = 8.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    """An experiment: a deployment under load and faults.

    Attributes:
        deployment: Sizes of the deployment.
        load: Arrivals.
        kinds: Kinds of requests.
        faults: Faults.
        policy_by_name: Policies to compare; the first is the reference.
        seeds: Seeds of the runs of each policy.
    """

    deployment: Deployment
    load: Load
    kinds: tuple[RequestKind, ...]
    faults: tuple[Fault, ...] = ()
    policy_by_name: dict[str, forward.ForwardPolicy] = field(
        default_factory=lambda: {"default": forward.ForwardPolicy()}
    )
    seeds: tuple[int, ...] = (1, 2, 3)


def read_scenario(
    path: pathlib.Path,
) -> expression.Result[Scenario, list[config.Finding]]:
    """Read a scenario; the error lists everything that is invalid."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error(
            [
                config.Finding(
                    file=str(path), section="", key="", problem=str(error)
                )
            ]
        )
    return parse_scenario(text, str(path))


def parse_scenario(
    text: str, file: str
) -> expression.Result[Scenario, list[config.Finding]]:
    r"""Parse the text of a scenario.

    >>> parse_scenario("[request r]\nwork_s = 0.02", "s.ini").ok.kinds[0].work_s
    0.02
    >>> print(parse_scenario("[load]\nrate = many", "s.ini").error[0])
    s.ini: [load] rate: 'many' (allowed: a number from 0)
    """
    reader = _ScenarioReader(file=file)
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        reader.report("", "", error.message)
        return expression.Error(reader.findings)
    parts: dict[str, list[Any]] = {"request": [], "fault": []}
    deployment, load = Deployment(), Load()
    seeds: tuple[int, ...] = (1, 2, 3)
    policy_by_name: dict[str, forward.ForwardPolicy] = {}
    for section in parser.sections():
        values = dict(parser[section])
        kind, _, name = section.partition(" ")
        if section == "deployment":
            deployment = reader.fill(section, values, Deployment())
        elif section == "load":
            load = reader.fill(section, values, Load())
        elif section == "experiment":
            seeds = reader.read_seeds(section, values)
        elif kind == "request" and name:
            empty = RequestKind(name=name)
            parts["request"].append(reader.fill(section, values, empty))
        elif kind == "fault" and name:
            fault = reader.fill(section, values, Fault(name=name))
            if fault.kind not in FAULT_KINDS:
                reader.report(
                    section, "kind", repr(fault.kind), ", ".join(FAULT_KINDS)
                )
            parts["fault"].append(fault)
        elif kind == "policy" and name:
            policy_by_name[name] = reader.read_policy(section, values)
        else:
            reader.report(section, "", "unknown section")
    if not parts["request"] and not reader.findings:
        reader.report("", "", "no [request NAME] section")
    if reader.findings:
        return expression.Error(reader.findings)
    return expression.Ok(
        Scenario(
            deployment=deployment,
            load=load,
            kinds=tuple(parts["request"]),
            faults=tuple(parts["fault"]),
            policy_by_name=policy_by_name
            or {"default": forward.ForwardPolicy()},
            seeds=seeds,
        )
    )


class _ScenarioReader:
    """Typed access to sections; collects a finding for each bad value."""

    __slots__ = ("_file", "findings")

    def __init__(self, *, file: str) -> None:
        self._file = file
        self.findings: list[config.Finding] = []

    def report(
        self, section: str, key: str, problem: str, allowed: str = ""
    ) -> None:
        self.findings.append(
            config.Finding(
                file=self._file,
                section=section,
                key=key,
                problem=problem,
                allowed=allowed,
            )
        )

    def fill(
        self, section: str, text_by_key: dict[str, str], empty: Any
    ) -> Any:
        """Return a copy of a part with the values of a section."""
        type_by_key = {
            each.name: each.type
            for each in dataclasses.fields(empty)
            if each.name != "name"
        }
        changes: dict[str, Any] = {}
        for key, text in text_by_key.items():
            if key not in type_by_key:
                allowed = ", ".join(type_by_key)
                self.report(section, key, "unknown key", allowed)
                continue
            value = _parse(text, type_by_key[key], lowest=_lowest(key))
            if value is None:
                allowed = f"a number from {_lowest(key)}"
                self.report(section, key, repr(text), allowed)
                continue
            changes[key] = value
        return dataclasses.replace(empty, **changes)

    def read_seeds(
        self, section: str, text_by_key: dict[str, str]
    ) -> tuple[int, ...]:
        text = text_by_key.pop("seeds", "1 2 3")
        for key in text_by_key:
            self.report(section, key, "unknown key", "seeds")
        if text.strip() and all(word.isdigit() for word in text.split()):
            return tuple(int(word) for word in text.split())
        self.report(section, "seeds", repr(text), "numbers")
        return ()

    def read_policy(
        self, section: str, text_by_key: dict[str, str]
    ) -> forward.ForwardPolicy:
        """Return the policy of keys such as ``forwarding.hedging``."""
        lines_by_section: dict[str, list[str]] = {}
        for key, text in text_by_key.items():
            part, _, name = key.partition(".")
            lines_by_section.setdefault(part, []).append(f"{name} = {text}")
        policy_text = "\n".join(
            "\n".join([f"[{part}]", *lines])
            for part, lines in lines_by_section.items()
        )
        parsed = policy_file.parse_policy(policy_text, self._file)
        if parsed.is_ok():
            return parsed.ok
        for finding in parsed.error:
            self.report(
                section,
                f"{finding.section}.{finding.key}",
                finding.problem,
                finding.allowed,
            )
        return forward.ForwardPolicy()


def _lowest(key: str) -> int:
    if key == "shard":
        return -1
    counts = ("vms", "zones", "shards", "replicas", "slots", "connections")
    return 1 if key in counts else 0


def _parse(text: str, kind: type, lowest: int) -> Any:
    if kind is str:
        return text
    try:
        value = kind(text)
    except ValueError:
        return None
    return value if lowest <= value < float("inf") else None
