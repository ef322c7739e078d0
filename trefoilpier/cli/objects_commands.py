"""Commands on the operators' objects: check, publish, show, diff, history."""

import pathlib
import uuid

from cleo.helpers import argument, option

from trefoilpier import config, metadata
from trefoilpier.base import ResultCode
from trefoilpier.cli import common
from trefoilpier.config import publish

_WAIT_S = 20.0
_WAIT_STEP_S = 0.25
_HISTORY_DEFAULT = 10


class CheckCommand(common.BaseCommand):
    """Checks a set of objects without publishing it."""

    name = "check"
    description = "Check a set of objects; every finding is printed."
    arguments = [argument("path", "An INI file, or a directory of them.")]
    options = [common.JSON_OPTION]
    help = """Examples:
  trefoilpier check examples/ulaanbaatar.ini
  trefoilpier check objects/ --json

Exit status: 0 the set is good, 3 it has findings."""

    async def work(self) -> int:
        """Reads, builds and reports."""
        objects, found = read_objects(self.argument("path"))
        if self.option("json"):
            self.print_json(
                {"ok": not found, "findings": [str(each) for each in found]}
            )
        elif found:
            for each in found:
                self.line(str(each))
            self.line(f"{ResultCode.CONFIG_INVALID} {len(found)} findings")
        else:
            self.line(f"ok: {len(objects)} objects")
        return common.EXIT_INVALID if found else common.EXIT_OK


def read_objects(
    path: str,
) -> tuple[list[config.RawObject], list[config.Finding]]:
    """Reads and checks the objects of a path."""
    read = config.read_bundle(pathlib.Path(path))
    if read.is_error():
        return [], read.error
    built = config.build_config_set(version=0, objects=read.ok)
    return read.ok, (built.error if built.is_error() else [])


class PublishCommand(common.BaseCommand):
    """Checks a set and publishes it as the next version."""

    name = "publish"
    description = "Check a set of objects and publish it."
    arguments = [argument("path", "An INI file, or a directory of them.")]
    options = [
        option(
            "token",
            None,
            "Token of an earlier try, to settle a lost answer.",
            flag=False,
        ),
        option(
            "expect",
            None,
            "Publish only over this version.",
            flag=False,
        ),
        option("wait", None, "Wait until every entry VM has it in force."),
        common.PLATFORM_OPTION,
        common.JSON_OPTION,
    ]
    help = """Examples:
  trefoilpier publish examples/ulaanbaatar.ini --platform 10.0.0.5:7000
  trefoilpier publish objects/ --expect 41 --wait
  trefoilpier publish objects/ --token 5f0c...   (repeats a lost publish)

Exit status: 0 accepted, 3 the set has findings, 4 lost the race to another
version, 5 not known yet (repeat with the token), 6 the store is down."""

    async def work(self) -> int:
        """Publishes and says which of the outcomes holds."""
        objects, found = read_objects(self.argument("path"))
        token = self.option("token") or uuid.uuid4().hex
        expect = self.option("expect")
        if expect is not None and not expect.isdecimal():
            raise common.UsageError(f"--expect {expect!r} is no version")
        if found:
            outcome = config.PublishOutcome(
                state=config.PublishState.INVALID,
                version=0,
                token=token,
                found=tuple(found),
            )
        else:
            publisher = config.Publisher(store=self.store(), clock=self.clock())
            outcome = await publisher.publish(
                objects,
                token=token,
                expect=int(expect) if expect is not None else None,
            )
        self._print(outcome)
        status = _EXIT_BY_STATE[outcome.state]
        if status == common.EXIT_OK and self.option("wait"):
            return await self._wait(outcome.version)
        return status

    def _print(self, outcome: config.PublishOutcome) -> None:
        if self.option("json"):
            self.print_json(
                {
                    "state": outcome.state,
                    "version": outcome.version,
                    "token": outcome.token,
                    "findings": [str(each) for each in outcome.found],
                    "detail": outcome.detail,
                }
            )
            return
        for each in outcome.found:
            self.line(str(each))
        self.line(_describe(outcome, self.argument("path")))

    async def _wait(self, version: int) -> int:
        """Waits until every listed entry VM has the version in force."""
        from trefoilpier.cli import vm_commands

        clock = self.clock()
        end = clock.monotonic() + _WAIT_S
        behind: list[str] = []
        while clock.monotonic() < end:
            rows = await vm_commands.fetch_statuses(self.store())
            if rows.is_error():
                return self.store_down(rows.error)
            behind = [row.id for row in rows.ok if row.config_version < version]
            if not behind:
                self.line(f"in force on {len(rows.ok)} entry VMs")
                return common.EXIT_OK
            await vm_commands.sleep(clock, _WAIT_STEP_S)
        self.line(f"not yet in force on {', '.join(behind)}")
        return common.EXIT_UNKNOWN


def _describe(outcome: config.PublishOutcome, path: str) -> str:
    """Says how a publish ended, for a person."""
    if outcome.state == config.PublishState.ACCEPTED:
        return f"{ResultCode.PUBLISHED} accepted as version {outcome.version}"
    if outcome.state == config.PublishState.LOST:
        return (
            f"{ResultCode.PUBLISH_LOST} lost the race to version "
            f"{outcome.version}; nothing of this set is in force"
        )
    if outcome.state == config.PublishState.INVALID:
        return f"{ResultCode.CONFIG_INVALID} {len(outcome.found)} findings"
    repeat = f"trefoilpier publish {path} --token {outcome.token}"
    if outcome.state == config.PublishState.UNKNOWN:
        return (
            f"{ResultCode.PUBLISH_UNKNOWN} not known yet whether it was "
            f"accepted; repeat: {repeat}"
        )
    return (
        f"{ResultCode.STORE_UNAVAILABLE} the store is down, nothing was "
        f"accepted ({outcome.detail}); repeat: {repeat}"
    )


_EXIT_BY_STATE = {
    config.PublishState.ACCEPTED: common.EXIT_OK,
    config.PublishState.LOST: common.EXIT_LOST,
    config.PublishState.INVALID: common.EXIT_INVALID,
    config.PublishState.UNKNOWN: common.EXIT_UNKNOWN,
    config.PublishState.STORE_DOWN: common.EXIT_STORE_DOWN,
}


async def _read_published(store: metadata.Store):  # noqa: ANN202
    """Reads the published manifest and its objects."""
    read = await publish.fetch_head(store)
    if read.is_error():
        return read
    head, _ = read.ok
    if not head.version:
        return read.map(lambda pair: (None, []))
    manifest = await publish.fetch_manifest(store, head.manifest)
    if manifest.is_error():
        return manifest
    bundle = await publish.fetch_bundle(store, manifest.ok, {})
    return bundle.map(lambda found: (manifest.ok, found.objects()))


def _render(raw: config.RawObject) -> list[str]:
    """Writes one object as INI lines."""
    lines = [f"[{raw.section}]"]
    for key, text in raw.text_by_key.items():
        value = text.replace("\n", "\n    ")
        lines.append(f"{key} = {value}")
    return lines


class ShowCommand(common.BaseCommand):
    """Prints the published objects."""

    name = "show"
    description = "Print the published objects."
    arguments = [
        argument("object", "A section such as 'service reserve'.", True)
    ]
    options = [common.PLATFORM_OPTION, common.JSON_OPTION]
    help = """Examples:
  trefoilpier show
  trefoilpier show "service gown-search"

Exit status: 0 printed, 2 there is no such object, 6 the store is down."""

    async def work(self) -> int:
        """Reads and prints."""
        read = await _read_published(self.store())
        if read.is_error():
            return self.store_down(read.error)
        manifest, objects = read.ok
        name = self.argument("object")
        if name:
            objects = [raw for raw in objects if raw.section == name]
            if not objects:
                raise common.UsageError(f"there is no object {name!r}")
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
            for line in _render(raw):
                self.line(line)
            self.line("")
        return common.EXIT_OK


class DiffCommand(common.BaseCommand):
    """Compares a local set with the published one."""

    name = "diff"
    description = "Compare a local set with the published one."
    arguments = [argument("path", "An INI file, or a directory of them.")]
    options = [common.PLATFORM_OPTION, common.JSON_OPTION]
    help = """Examples:
  trefoilpier diff objects/

Exit status: 0 compared, 3 the local set has findings, 6 the store is down."""

    async def work(self) -> int:
        """Reads both sets and prints what differs."""
        objects, found = read_objects(self.argument("path"))
        if found:
            for each in found:
                self.line(str(each))
            return common.EXIT_INVALID
        read = await _read_published(self.store())
        if read.is_error():
            return self.store_down(read.error)
        manifest, published = read.ok
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
    """Lists the changes between two sets, one line each.

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
    """Lists the changed keys of one object."""
    return [
        f"~ [{section}] {key}: {old.get(key)!r} -> {new.get(key)!r}"
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    ]


class HistoryCommand(common.BaseCommand):
    """Lists the published versions, newest first."""

    name = "history"
    description = "List the published versions, newest first."
    options = [
        option(
            "count",
            None,
            "How many versions.",
            flag=False,
            default=str(_HISTORY_DEFAULT),
        ),
        common.PLATFORM_OPTION,
        common.JSON_OPTION,
    ]
    help = """Examples:
  trefoilpier history --count 20

Exit status: 0 printed, 6 the store is down."""

    async def work(self) -> int:
        """Walks the manifests back."""
        count = self.option("count")
        if not count.isdecimal():
            raise common.UsageError(f"--count {count!r} is no number")
        store = self.store()
        read = await publish.fetch_head(store)
        if read.is_error():
            return self.store_down(read.error)
        rows = []
        address = read.ok[0].manifest
        while address and len(rows) < int(count):
            manifest = await publish.fetch_manifest(store, address)
            if manifest.is_error():
                break
            rows.append(manifest.ok)
            address = manifest.ok.parent
        if self.option("json"):
            self.print_json(
                [
                    {
                        "version": row.version,
                        "published_at": row.published_at,
                        "token": row.token,
                        "objects": len(row.object_hashes),
                    }
                    for row in rows
                ]
            )
            return common.EXIT_OK
        self.print_table(
            ("version", "published at", "objects", "token"),
            (
                (
                    str(row.version),
                    row.published_at,
                    str(len(row.object_hashes)),
                    row.token,
                )
                for row in rows
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
