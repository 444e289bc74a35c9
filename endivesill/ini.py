"""INI files with the line of each section and key."""

from __future__ import annotations

import configparser
import re

import attrs

from endivesill.findings import Finding

__all__ = ["IniSection", "IniValue", "parse_ini"]

_HEADER = re.compile(r"^\[(?P<name>[^\]]+)\]\s*$")
_KEY = re.compile(r"^(?P<key>[^\s#;=:\[][^=:]*?)\s*[=:]")


@attrs.frozen
class IniValue:
    """A value with the place where it was written."""

    text: str
    file: str
    line: int


@attrs.define
class IniSection:
    """A section with its keys in order.

    Attributes:
      name: the text between the brackets.
      file: the file it stands in.
      line: the line of its header.
      values: the values by key.
    """

    name: str
    file: str
    line: int
    values: dict[str, IniValue] = attrs.Factory(dict)


def parse_ini(text: str, file: str) -> tuple[list[IniSection], list[Finding]]:
    """Parse one file; configparser reads, a scan adds the lines.

    Args:
      text: the file's content.
      file: its name, for the findings.

    Returns:
      The sections, and the findings; with findings the sections are not whole.
    """
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, inline_comment_prefixes=None
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        return [], _findings_of(error, file)
    lines = _scan_lines(text)
    sections = []
    for name in parser.sections():
        section = IniSection(name, file, lines.get((name, None), 0))
        for key, value in parser.items(name):
            line = lines.get((name, key), section.line)
            section.values[key] = IniValue(value, file, line)
        sections.append(section)
    return sections, []


def _findings_of(error: configparser.Error, file: str) -> list[Finding]:
    if isinstance(error, configparser.ParsingError) and getattr(error, "errors", None):
        return [
            Finding(file, line, f"not an INI line: {text.strip()}")
            for line, text in error.errors
        ]
    line = getattr(error, "lineno", 0) or 0
    if isinstance(error, configparser.DuplicateSectionError):
        return [Finding(file, line, f"section [{error.section}] stands twice")]
    if isinstance(error, configparser.DuplicateOptionError):
        text = f"key {error.option} stands twice in [{error.section}]"
        return [Finding(file, line, text)]
    return [Finding(file, line, error.message.splitlines()[0])]


def _scan_lines(text: str) -> dict[tuple[str, str | None], int]:
    lines: dict[tuple[str, str | None], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        if header:
            section = header["name"]
            lines[section, None] = number
            continue
        key = _KEY.match(line)
        if key:
            lines.setdefault((section, key["key"].strip()), number)
    return lines
