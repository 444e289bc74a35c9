"""Parsing of INI files with the line number of each section and key.

configparser reads the values. A separate scan finds line numbers and duplicates.
Parse errors do not stop the reading, so that one run reports all findings of a file.
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

# No section can have this name, so [DEFAULT] is an ordinary section.
_NO_DEFAULT_SECTION = "\0"


@attrs.frozen
class IniValue:
    """A value with the file and line where it was defined."""

    text: str
    file: str
    line: int


@attrs.define
class IniSection:
    """A section with its values in file order.

    Attributes:
      name: the text between the brackets.
      file: the name of the file.
      line: the line number of its header, from 1.
      values: the values by key.
    """

    name: str
    file: str
    line: int
    values: dict[str, IniValue] = attrs.Factory(dict)


def read_text(path: str) -> str:
    """Read a text file in UTF-8.

    Raises:
      FindingsError: the file cannot be read or is not valid UTF-8.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.FindingsError([Finding(path, 0, str(error))]) from None


def parse_ini(text: str, file: str) -> tuple[list[IniSection], list[Finding]]:
    """Parse the text of an INI file.

    Args:
      text: the content of the file.
      file: the name of the file, for the findings.

    Returns:
      The sections without the invalid lines, and one finding for each of these
      and for each duplicate.
    """
    parser, findings = _parse_values(text, file)
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


def _parse_values(
    text: str, file: str
) -> tuple[configparser.ConfigParser, list[Finding]]:
    """Parse with configparser; blank the lines that it rejects and parse again."""
    lines = text.splitlines()
    findings: list[Finding] = []
    while True:
        parser = _new_parser()
        try:
            parser.read_string("\n".join(lines), source=file)
            return parser, findings
        except configparser.MissingSectionHeaderError as error:
            invalid_lines = [error.lineno]
        except configparser.ParsingError as error:
            invalid_lines = [line for line, _ in error.errors]
        for number in invalid_lines:
            line_text = lines[number - 1].strip()
            findings.append(Finding(file, number, f"invalid INI line: {line_text}"))
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
            location: tuple[str, str | None] = (section, None)
            finding_text = f"duplicate section [{section}]"
        elif match:
            location = (section, match["key"].strip())
            finding_text = f"duplicate key {location[1]} in [{section}]"
        else:
            continue
        if location in lines:
            findings.append(Finding(file, number, finding_text))
        else:
            lines[location] = number
    return lines, findings
