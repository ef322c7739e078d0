"""Commands for configuration objects: check, publish, show, diff, history."""

import pathlib
import uuid

from cleo.helpers import argument, option

from trefoilpier import config, metadata
from trefoilpier.base import ResultCode
from trefoilpier.cli import common
from trefoilpier.config import publish

_IN_FORCE_TIMEOUT_S = 20.0
_IN_FORCE_POLL_INTERVAL_S = 0.25
_DEFAULT_HISTORY_COUNT = 10


class CheckCommand(common.BaseCommand):
    """The command that checks a set of objects without publishing it."""

    name = "check"
    description = "Check a set of objects and print all findings."
    arguments = [argument("path", "An INI file or a directory of INI files.")]
    options = [common.JSON_OPTION]
    help = """Examples:
  trefoilpier check examples/ulaanbaatar.ini
  trefoilpier check objects/ --json

Exit status: 0 the set is valid, 3 it has findings."""

    async def run_async(self) -> int:
        """Check the set and print the findings."""
        objects, findings = read_and_check_objects(self.argument("path"))
        if self.option("json"):
            self.print_json(
                {
                    "ok": not findings,
                    "findings": [str(finding) for finding in findings],
                }
            )
        elif findings:
            for finding in findings:
                self.line(str(finding))
            self.line(f"{ResultCode.CONFIG_INVALID} {len(findings)} findings")
        else:
            self.line(f"ok: {len(objects)} objects")
        return common.EXIT_INVALID if findings else common.EXIT_OK


def read_and_check_objects(
    path: str,
) -> tuple[list[config.RawObject], list[config.Finding]]:
    """Read the objects at a path; return them and the findings."""
    result = config.read_object_files(pathlib.Path(path))
    if result.is_error():
        return [], result.error
    built = config.build_config_set(version=0, objects=result.ok)
    return result.ok, (built.error if built.is_error() else [])


class PublishCommand(common.BaseCommand):
    """The command that checks a set and publishes it as the next version."""

    name = "publish"
    description = "Check a set of objects and publish it."
    arguments = [argument("path", "An INI file or a directory of INI files.")]
    options = [
        option(
            "token",
            None,
            "Token of an earlier attempt whose outcome is unknown.",
            flag=False,
        ),
        option(
            "expect",
            None,
            "Publish only if this is the current version.",
            flag=False,
        ),
        option(
            "wait",
            None,
            "Wait until the version is in force on every entry VM.",
        ),
        common.PLATFORM_OPTION,
        common.JSON_OPTION,
    ]
    help = """Examples:
  trefoilpier publish examples/ulaanbaatar.ini --platform 10.0.0.5:7000
  trefoilpier publish objects/ --expect 41 --wait
  trefoilpier publish objects/ --token 5f0c...   (retries an earlier publish)

Exit status: 0 accepted, 3 the set has findings, 4 another version was
published first, 5 outcome unknown (retry with the token) or not yet in force
on every entry VM, 6 the store is unavailable."""

    async def run_async(self) -> int:
        """Publish the set and print the outcome."""
        objects, findings = read_and_check_objects(self.argument("path"))
        token = self.option("token") or uuid.uuid4().hex
        expected = self.option("expect")
        if expected is not None and not expected.isdecimal():
            raise common.UsageError(f"--expect {expected!r} is not a version")
        if findings:
            outcome = config.PublishOutcome(
                state=config.PublishState.INVALID,
                version=0,
                token=token,
                findings=tuple(findings),
            )
        else:
            publisher = config.Publisher(
                store=self.open_store(), clock=self.clock()
            )
            outcome = await publisher.publish(
                objects,
                token=token,
                expect=int(expected) if expected is not None else None,
            )
        self._print_outcome(outcome)
        status = EXIT_BY_STATE[outcome.state]
        if status == common.EXIT_OK and self.option("wait"):
            return await self._wait_until_in_force(outcome.version)
        return status

    def _print_outcome(self, outcome: config.PublishOutcome) -> None:
        if self.option("json"):
            self.print_json(
                {
                    "state": outcome.state,
                    "version": outcome.version,
                    "token": outcome.token,
                    "findings": [str(finding) for finding in outcome.findings],
                    "detail": outcome.detail,
                }
            )
            return
        for finding in outcome.findings:
            self.line(str(finding))
        self.line(_describe_outcome(outcome, self.argument("path")))

    async def _wait_until_in_force(self, version: int) -> int:
        """Wait until the version is in force on every listed entry VM."""
        from trefoilpier.cli import vm_commands

        clock = self.clock()
        deadline = clock.monotonic() + _IN_FORCE_TIMEOUT_S
        lagging_ids: list[str] = []
        while clock.monotonic() < deadline:
            statuses = await vm_commands.fetch_statuses(self.open_store())
            if statuses.is_error():
                return self.report_store_unavailable(statuses.error)
            lagging_ids = [
                vm.id for vm in statuses.ok if vm.config_version < version
            ]
            if not lagging_ids:
                self.line(f"in force on {len(statuses.ok)} entry VMs")
                return common.EXIT_OK
            await vm_commands.sleep(clock, _IN_FORCE_POLL_INTERVAL_S)
        self.line(f"not yet in force on {', '.join(lagging_ids)}")
        return common.EXIT_UNCONFIRMED


def _describe_outcome(outcome: config.PublishOutcome, path: str) -> str:
    """Return a human-readable description of a publish outcome."""
    if outcome.state == config.PublishState.ACCEPTED:
        return f"{ResultCode.PUBLISHED} accepted as version {outcome.version}"
    if outcome.state == config.PublishState.LOST:
        return (
            f"{ResultCode.PUBLISH_LOST} not accepted: version "
            f"{outcome.version} was published first"
        )
    if outcome.state == config.PublishState.INVALID:
        return f"{ResultCode.CONFIG_INVALID} {len(outcome.findings)} findings"
    retry_command = f"trefoilpier publish {path} --token {outcome.token}"
    if outcome.state == config.PublishState.UNKNOWN:
        return (
            f"{ResultCode.PUBLISH_UNKNOWN} not yet known whether it was "
            f"accepted; retry: {retry_command}"
        )
    return (
        f"{ResultCode.STORE_UNAVAILABLE} the store is unavailable; nothing was "
        f"accepted ({outcome.detail}); retry: {retry_command}"
    )


EXIT_BY_STATE = {
    config.PublishState.ACCEPTED: common.EXIT_OK,
    config.PublishState.LOST: common.EXIT_PUBLISH_LOST,
    config.PublishState.INVALID: common.EXIT_INVALID,
    config.PublishState.UNKNOWN: common.EXIT_UNCONFIRMED,
    config.PublishState.STORE_DOWN: common.EXIT_STORE_UNAVAILABLE,
}


async def fetch_published(store: metadata.Store):  # noqa: ANN202
    """Fetch the published manifest and its objects."""
    result = await publish.fetch_head(store)
    if result.is_error():
        return result
    head, _ = result.ok
    if not head.version:
        return result.map(lambda pair: (None, []))
    manifest = await publish.fetch_manifest(store, head.manifest_hash)
    if manifest.is_error():
        return manifest
    bundle = await publish.fetch_bundle(store, manifest.ok, {})
    return bundle.map(lambda fetched: (manifest.ok, fetched.objects()))


def _format_ini_lines(raw: config.RawObject) -> list[str]:
    """Format an object as the lines of an INI section."""
    lines = [f"[{raw.section}]"]
    for key, text in raw.text_by_key.items():
        value = text.replace("\n", "\n    ")
        lines.append(f"{key} = {value}")
    return lines


class ShowCommand(common.BaseCommand):
    """The command that prints the published objects."""

    name = "show"
    description = "Print the published objects."
    arguments = [
        argument("object", "A section such as 'service reserve'.", True)
    ]
    options = [common.PLATFORM_OPTION, common.JSON_OPTION]
    help = """Examples:
  trefoilpier show
  trefoilpier show "service gown-search"

Exit status: 0 printed, 2 there is no such object, 6 the store is
unavailable."""

    async def run_async(self) -> int:
        """Fetch the published objects and print them."""
        result = await fetch_published(self.open_store())
        if result.is_error():
            return self.report_store_unavailable(result.error)
        manifest, objects = result.ok
        name = self.argument("object")
        if name:
            objects = [raw for raw in objects if raw.section == name]
            if not objects:
                raise common.UsageError(f"no published object {name!r}")
        version = manifest.version if manifest else 0
        if self.option("json"):
            self.print_json(
                {
                    "version": version,
                    "objects": {r.section: r.text_by_key for r in objects},
                }
            )
            return common.EXIT_OK
        self.line(f"# version {version}")
        for raw in sorted(objects, key=lambda each: each.section):
            for line in _format_ini_lines(raw):
                self.line(line)
            self.line("")
        return common.EXIT_OK


class DiffCommand(common.BaseCommand):
    """The command that compares a local set with the published one."""

    name = "diff"
    description = "Compare a local set with the published one."
    arguments = [argument("path", "An INI file or a directory of INI files.")]
    options = [common.PLATFORM_OPTION, common.JSON_OPTION]
    help = """Examples:
  trefoilpier diff objects/

Exit status: 0 compared, 3 the local set has findings, 6 the store is
unavailable."""

    async def run_async(self) -> int:
        """Print the changes from the published set to the local one."""
        objects, findings = read_and_check_objects(self.argument("path"))
        if findings:
            for finding in findings:
                self.line(str(finding))
            return common.EXIT_INVALID
        result = await fetch_published(self.open_store())
        if result.is_error():
            return self.report_store_unavailable(result.error)
        manifest, published = result.ok
        changes = diff_objects(published, objects)
        if self.option("json"):
            version = manifest.version if manifest else 0
            self.print_json({"version": version, "changes": changes})
            return common.EXIT_OK
        for line in changes:
            self.line(line)
        self.line(f"{len(changes)} changes")
        return common.EXIT_OK


def diff_objects(
    before: list[config.RawObject], after: list[config.RawObject]
) -> list[str]:
    """Return the changes between two sets as one line per change.

    >>> raw = config.RawObject(kind="fleet", name="f", text_by_key={"vms": "7"})
    >>> diff_objects([], [raw])
    ['+ [fleet f]']
    """
    before_by_section = {raw.section: raw.text_by_key for raw in before}
    after_by_section = {raw.section: raw.text_by_key for raw in after}
    lines = []
    for section in sorted(before_by_section.keys() | after_by_section.keys()):
        old = before_by_section.get(section)
        new = after_by_section.get(section)
        if old is None:
            lines.append(f"+ [{section}]")
        elif new is None:
            lines.append(f"- [{section}]")
        else:
            lines += _diff_keys(section, old, new)
    return lines


def _diff_keys(
    section: str, old: dict[str, str], new: dict[str, str]
) -> list[str]:
    """Return one line for each changed key of an object."""
    return [
        f"~ [{section}] {key}: {old.get(key)!r} -> {new.get(key)!r}"
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    ]


class HistoryCommand(common.BaseCommand):
    """The command that lists the published versions, newest first."""

    name = "history"
    description = "List the published versions, newest first."
    options = [
        option(
            "count",
            None,
            "Number of versions to list.",
            flag=False,
            default=str(_DEFAULT_HISTORY_COUNT),
        ),
        common.PLATFORM_OPTION,
        common.JSON_OPTION,
    ]
    help = """Examples:
  trefoilpier history --count 20

Exit status: 0 printed, 6 the store is unavailable."""

    async def run_async(self) -> int:
        """Follow the parent links of the manifests and print them."""
        count = self.option("count")
        if not count.isdecimal():
            raise common.UsageError(f"--count {count!r} is not a number")
        store = self.open_store()
        result = await publish.fetch_head(store)
        if result.is_error():
            return self.report_store_unavailable(result.error)
        manifests = []
        address = result.ok[0].manifest_hash
        while address and len(manifests) < int(count):
            manifest = await publish.fetch_manifest(store, address)
            if manifest.is_error():
                break
            manifests.append(manifest.ok)
            address = manifest.ok.parent_hash
        if self.option("json"):
            self.print_json(
                [
                    {
                        "version": entry.version,
                        "published_at": entry.published_at,
                        "token": entry.token,
                        "objects": len(entry.object_hashes),
                    }
                    for entry in manifests
                ]
            )
            return common.EXIT_OK
        self.print_table(
            ("version", "published at", "objects", "token"),
            (
                (
                    str(entry.version),
                    entry.published_at,
                    str(len(entry.object_hashes)),
                    entry.token,
                )
                for entry in manifests
            ),
        )
        return common.EXIT_OK


COMMANDS = (
    CheckCommand,
    PublishCommand,
    ShowCommand,
    DiffCommand,
    HistoryCommand,
)
