"""A node's settings: an INI file, checked in one place."""

from lycheetide.settings._findings import Finding, SettingsError
from lycheetide.settings._read import read_settings
from lycheetide.settings._schema import FIELDS, Settings

__all__ = ["FIELDS", "Finding", "Settings", "SettingsError", "read_settings"]
