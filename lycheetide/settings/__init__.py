"""Settings of a node or relay, read from an INI file and validated as a whole."""

from lycheetide.settings._findings import Finding, SettingsError
from lycheetide.settings._read import read_settings
from lycheetide.settings._relay import RelaySettings
from lycheetide.settings._schema import NODE_FIELDS, NodeSettings

__all__ = [
    "NODE_FIELDS",
    "Finding",
    "NodeSettings",
    "RelaySettings",
    "SettingsError",
    "read_settings",
]
