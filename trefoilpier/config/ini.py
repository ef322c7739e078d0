"""Parser for the INI files in which operators define objects."""

import configparser
import pathlib

import expression

from trefoilpier.config import bundle, finding

_KINDS = ("fleet", "place", "shard_group", "policy", "service", "account")


def _read_file(
    path: pathlib.Path, findings: list[finding.Finding]
) -> list[bundle.RawObject]:
    """Parse one file.

    Args:
        path: The file.
        findings: List to which errors are appended.

    Returns:
        The objects of all valid sections.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(path.read_text(encoding="utf-8"), path.name)
    except (configparser.Error, UnicodeDecodeError, OSError) as error:
        problem = str(error).replace("\n", " ")
        findings.append(
            finding.Finding(file=path.name, section="", key="", problem=problem)
        )
        return []
    objects = []
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if kind not in _KINDS or not name.strip():
            findings.append(
                finding.Finding(
                    file=path.name,
                    section=section,
                    key="",
                    problem="is not a valid section name",
                    allowed=", ".join(
                        f"{kind_name} NAME" for kind_name in _KINDS
                    ),
                )
            )
            continue
        objects.append(
            bundle.RawObject(
                kind=kind,
                name=name.strip(),
                text_by_key=dict(parser.items(section)),
                file=path.name,
            )
        )
    return objects


def read_object_files(
    path: pathlib.Path,
) -> expression.Result[list[bundle.RawObject], list[finding.Finding]]:
    """Parse an INI file, or every ``*.ini`` file of a directory.

    Args:
        path: A file or a directory.

    Returns:
        The objects in the order of files and sections, or all errors found.

    >>> read_object_files(pathlib.Path("no-such.ini")).is_error()
    True
    """
    paths = sorted(path.glob("*.ini")) if path.is_dir() else [path]
    findings: list[finding.Finding] = []
    objects: list[bundle.RawObject] = []
    seen_in: dict[str, str] = {}
    for ini_path in paths:
        for raw in _read_file(ini_path, findings):
            if raw.section in seen_in:
                findings.append(
                    finding.Finding(
                        file=ini_path.name,
                        section=raw.section,
                        key="",
                        problem=f"is already defined in {seen_in[raw.section]}",
                    )
                )
            seen_in[raw.section] = ini_path.name
            objects.append(raw)
    if not objects and not findings:
        findings.append(
            finding.Finding(
                file=str(path.name),
                section="",
                key="",
                problem="contains no objects",
            )
        )
    if findings:
        return expression.Error(findings)
    return expression.Ok(objects)
