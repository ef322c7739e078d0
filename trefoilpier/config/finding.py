"""Validation errors in a configuration or a settings file."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Finding:
    """One validation error and its location.

    Attributes:
        file: Name of the file.
        section: Name of the INI section, or empty for the whole file.
        key: Name of the key, or empty for the whole section.
        problem: What is wrong.
        allowed: The values that are accepted, or empty.

    >>> print(Finding(file="a.ini", section="service s", key="policy",
    ...               problem="does not exist", allowed="usual, strict"))
    a.ini: [service s] policy: does not exist (allowed: usual, strict)
    """

    file: str
    section: str
    key: str
    problem: str
    allowed: str = ""

    def __str__(self) -> str:
        text = f"{self.file}: [{self.section}] {self.key}: {self.problem}"
        if not self.allowed:
            return text
        return f"{text} (allowed: {self.allowed})"
