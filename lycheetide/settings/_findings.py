"""Faults in a file, each with its place, reported together."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    """One fault and where it stands.

    Parameters
    ----------
    place : str
        The file, or the part of a configuration.
    section, key : str
        The section and the key; empty where the fault is the whole section's.
    line : int
        Counted from 1; 0 where the key is missing.
    came, expected : str
        What stands there and what should.
    """

    place: str
    section: str
    key: str
    line: int
    came: str
    expected: str

    def __str__(self):
        """Give the finding in one line."""
        return (
            f"{self.place}:{self.line}: [{self.section}] {self.key}: "
            f"got {self.came}, expected {self.expected}"
        )


class SettingsError(ValueError):
    """One finding, raised in an exception group with all the others."""

    def __init__(self, finding):
        super().__init__(str(finding))
        self.finding = finding
