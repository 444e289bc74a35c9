"""INI files with the line of each section and key.

configparser reads the values. A scan adds the lines and finds what configparser
would stop at, so that one run reports every fault of a file.
"""

from __future__ import annotations

import configparser
import pathlib
import re

import attrs

from endivesill import errors
from endivesill.findings import Finding

__all__ = ["IniSection", "IniValue", "parse_ini", "read_text"]

_HEADER = re.compile(r"^\[(?P<name>[^\]]+)\]\s*$")
_KEY = re.compile(r"^(?P<key>[^\s#;=:\[][^=:]*?)\s*[=:]")

# No section has this name, so that [DEFAULT] is a section like any other.
_NO_DEFAULT_SECTION = "\0"


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


def read_text(path: str) -> str:
    """Read a file that a person wrote.

    Raises:
      FindingsError: it cannot be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.FindingsError([Finding(path, 0, str(error))]) from None


def parse_ini(text: str, file: str) -> tuple[list[IniSection], list[Finding]]:
    """Parse one file.

    Args:
      text: the file's content.
      file: its name, for the findings.

    Returns:
      The sections without the lines at fault, and a finding for each of these.
    """
    parser, findings = _read(text, file)
    lines, duplicates = _scan_lines(text, file)
    findings.extend(duplicates)
    sections = []
    for name in parser.sections():
        section = IniSection(name, file, lines.get((name, None), 0))
        for key, value in parser.items(name):
            line = lines.get((name, key), section.line)
            section.values[key] = IniValue(value, file, line)
        sections.append(section)
    return sections, sorted(findings)


def _read(text: str, file: str) -> tuple[configparser.ConfigParser, list[Finding]]:
    """Read with configparser; blank each line that it stops at and go on."""
    lines = text.splitlines()
    findings: list[Finding] = []
    while True:
        parser = _new_parser()
        try:
            parser.read_string("\n".join(lines), source=file)
            return parser, findings
        except configparser.MissingSectionHeaderError as error:
            faults = [error.lineno]
        except configparser.ParsingError as error:
            faults = [line for line, _ in error.errors]
        for number in faults:
            shown = lines[number - 1].strip()
            findings.append(Finding(file, number, f"not an INI line: {shown}"))
            lines[number - 1] = ""


def _new_parser() -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        interpolation=None,
        strict=False,
        inline_comment_prefixes=None,
        default_section=_NO_DEFAULT_SECTION,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    return parser


def _scan_lines(
    text: str, file: str
) -> tuple[dict[tuple[str, str | None], int], list[Finding]]:
    lines: dict[tuple[str, str | None], int] = {}
    findings: list[Finding] = []
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        match = _KEY.match(line)
        if header:
            section = header["name"]
            place: tuple[str, str | None] = (section, None)
            fault = f"section [{section}] stands twice"
        elif match:
            place = (section, match["key"].strip())
            fault = f"key {place[1]} stands twice in [{section}]"
        else:
            continue
        if place in lines:
            findings.append(Finding(file, number, fault))
        else:
            lines[place] = number
    return lines, findings
