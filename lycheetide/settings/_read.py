"""Read the INI file and report all its errors at once."""

import configparser
import re
from typing import Any

from lycheetide.settings._findings import Finding, SettingsError
from lycheetide.settings._relay import RELAY_FIELDS, RelaySettings
from lycheetide.settings._schema import NODE_FIELDS, NodeSettings

RELAY_SECTION = "relay"
"""A file with this section holds the settings of a relay."""

_SECTION_LINE = re.compile(r"\s*\[(?P<name>[^]]+)\]")
_KEY_LINE = re.compile(r"\s*(?P<name>[^#;=:\s][^=:]*?)\s*[=:]")


def read_settings(path):
    """Read the settings of a node or relay.

    Parameters
    ----------
    path : str or path
        The INI file.

    Returns
    -------
    NodeSettings or RelaySettings
        The validated settings; those of a relay if the file has a relay section.

    Raises
    ------
    ExceptionGroup
        With one ``SettingsError`` for each finding.
    """
    with open(path, encoding="utf-8") as file:
        text = file.read()
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=str(path))
    except configparser.Error as error:
        line = getattr(error, "lineno", 0) or 0
        finding = Finding(str(path), "", "", line, str(error), "an INI file")
        raise ExceptionGroup("invalid settings", [SettingsError(finding)]) from None
    lines = _find_line_numbers(text)
    is_relay = parser.has_section(RELAY_SECTION)
    fields = RELAY_FIELDS if is_relay else NODE_FIELDS
    findings = list(_find_unknown_keys(parser, fields, lines, path))
    values: dict[str, Any] = {}
    for field in fields:
        _read_field(parser, field, lines, path, values, findings)
    if not is_relay:
        findings.extend(_find_conflicts(values, lines, path))
    if findings:
        raise ExceptionGroup(
            "invalid settings", [SettingsError(finding) for finding in findings]
        )
    return RelaySettings(**values) if is_relay else NodeSettings(**values)


def _find_line_numbers(text):
    """Map each (section, key) to its line number; sections have an empty key."""
    lines = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = _SECTION_LINE.match(line)
        if header:
            section = header["name"]
            lines[section, ""] = number
            continue
        key = _KEY_LINE.match(line)
        if key:
            lines[section, key["name"].lower()] = number
    return lines


def _find_unknown_keys(parser, fields, lines, path):
    """Yield a finding for each key that is not a known setting."""
    known = {(field.section, field.key) for field in fields}
    for section in parser.sections():
        for key in parser[section]:
            if (section, key) not in known:
                line = lines.get((section, key), 0)
                yield Finding(
                    str(path), section, key, line, "an unknown key", "a known one"
                )


def _read_field(parser, field, lines, path, values, findings):
    """Parse one field; add its value to ``values`` or an error to ``findings``."""
    line = lines.get((field.section, field.key), 0)
    text = parser.get(field.section, field.key, fallback=None)
    if text is None:
        if field.required:
            findings.append(
                Finding(str(path), field.section, field.key, 0, "nothing", "a value")
            )
        return
    try:
        values[field.key] = field.parse(text)
    except ValueError as error:
        findings.append(
            Finding(str(path), field.section, field.key, line, repr(text), str(error))
        )


def _find_conflicts(values, lines, path):
    """Yield a finding for each conflict between settings."""
    lease_s = values.get("lease_s", NodeSettings.lease_s)
    interval_s = values.get("heartbeat_interval_s", NodeSettings.heartbeat_interval_s)
    if lease_s < 2 * interval_s:
        line = lines.get(("membership", "lease_s"), 0)
        expected = "at least two heartbeat intervals"
        yield Finding(str(path), "membership", "lease_s", line, f"{lease_s}", expected)
    has_certificate = bool(values.get("tls_certificate_path"))
    has_key = bool(values.get("tls_key_path"))
    if has_certificate != has_key:
        line = lines.get(("listen", "tls_certificate_path"), 0)
        expected = "a certificate and a key, or neither"
        yield Finding(
            str(path), "listen", "tls_certificate_path", line, "only one", expected
        )
