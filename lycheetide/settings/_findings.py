"""Findings: errors in a file or configuration with their location."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    """One error and its location.

    Parameters
    ----------
    place : str
        The file or the source of the configuration.
    section, key : str
        The section and the key; the key is empty if the error concerns the whole
        section.
    line : int
        The line number, counted from 1; 0 if it is unknown or the key is missing.
    came, expected : str
        The actual value and a description of the expected one.
    """

    place: str
    section: str
    key: str
    line: int
    came: str
    expected: str

    def __str__(self):
        """Return the finding as one line of text."""
        return (
            f"{self.place}:{self.line}: [{self.section}] {self.key}: "
            f"got {self.came}, expected {self.expected}"
        )


class SettingsError(ValueError):
    """An error for one finding; all findings are raised together as a group."""

    def __init__(self, finding):
        super().__init__(str(finding))
        self.finding = finding
