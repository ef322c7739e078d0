"""Reads the operators' INI files into raw objects."""

import configparser
import pathlib

import expression

from trefoilpier.config import bundle, findings

_KINDS = ("fleet", "place", "shard_group", "policy", "service")


def _read_file(
    path: pathlib.Path, found: list[findings.Finding]
) -> list[bundle.RawObject]:
    """Reads one file; adds what is wrong to ``found``."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(path.read_text(encoding="utf-8"), path.name)
    except (configparser.Error, UnicodeDecodeError, OSError) as error:
        problem = str(error).replace("\n", " ")
        found.append(
            findings.Finding(
                file=path.name, section="", key="", problem=problem
            )
        )
        return []
    objects = []
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if kind not in _KINDS or not name.strip():
            found.append(
                findings.Finding(
                    file=path.name,
                    section=section,
                    key="",
                    problem="is not a section of objects",
                    allowed=", ".join(f"{k} NAME" for k in _KINDS),
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


def read_bundle(
    path: pathlib.Path,
) -> expression.Result[list[bundle.RawObject], list[findings.Finding]]:
    """Reads a file, or every ``*.ini`` file of a directory.

    Args:
        path: A file or a directory.

    Returns:
        The objects in the order of files and sections, or all findings.

    >>> read_bundle(pathlib.Path("no-such.ini")).is_error()
    True
    """
    paths = sorted(path.glob("*.ini")) if path.is_dir() else [path]
    found: list[findings.Finding] = []
    objects: list[bundle.RawObject] = []
    seen: dict[str, str] = {}
    for each in paths:
        for raw in _read_file(each, found):
            if raw.section in seen:
                found.append(
                    findings.Finding(
                        file=each.name,
                        section=raw.section,
                        key="",
                        problem=f"is already in {seen[raw.section]}",
                    )
                )
            seen[raw.section] = each.name
            objects.append(raw)
    if not objects and not found:
        found.append(
            findings.Finding(
                file=str(path.name), section="", key="", problem="no objects"
            )
        )
    if found:
        return expression.Error(found)
    return expression.Ok(objects)
