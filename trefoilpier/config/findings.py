"""What is wrong with a set of objects or a settings file."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Finding:
    """One mistake, with its place.

    >>> print(Finding(file="a.ini", section="service s", key="policy",
    ...               problem="names no policy", allowed="a policy's name"))
    a.ini: [service s] policy: names no policy (allowed: a policy's name)
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
