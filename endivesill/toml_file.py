"""TOML files with the line number of each table and key, for findings."""

from __future__ import annotations

import pathlib
import re
import tomllib
from collections.abc import Callable
from typing import Any

import attrs

from endivesill import errors
from endivesill.findings import Finding

__all__ = ["KINDS", "TomlFile", "TomlTable"]

_PART = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
_PATH = rf"(?P<path>{_PART}(?:\s*\.\s*{_PART})*)"
_HEADER = re.compile(rf"^\s*\[\[?\s*{_PATH}\s*\]")
_KEY = re.compile(rf"^\s*{_PATH}\s*=")
_ERROR_LINE = re.compile(r"\(at line (\d+),")


@attrs.frozen
class TomlFile:
    """A TOML file.

    Attributes:
      path: the path as the user gave it.
      document: the content.
      lines: the line number of each table and key, by its dotted path.
    """

    path: str
    document: dict[str, Any]
    lines: dict[str, int]

    @classmethod
    def read(cls, path: str) -> TomlFile:
        """Read a file.

        Raises:
          FindingsError: the file cannot be read or is not valid TOML.
        """
        try:
            text = pathlib.Path(path).read_text(encoding="utf-8")
            return cls(path, tomllib.loads(text), _scan_lines(text))
        except (OSError, UnicodeDecodeError) as error:
            finding = Finding(path, 0, str(error))
        except tomllib.TOMLDecodeError as error:
            found = _ERROR_LINE.search(str(error))
            finding = Finding(path, int(found[1]) if found else 0, str(error))
        except RecursionError:
            finding = Finding(path, 0, "nested too deeply")
        raise errors.FindingsError([finding])

    def finding(self, key: str, text: str) -> Finding:
        """Return a finding about a key, at its line or that of its table.

        Args:
          key: the dotted path of the key.
          text: what is wrong with its value.
        """
        place = key
        while place and place not in self.lines:
            place = place.rpartition(".")[0]
        return Finding(self.path, self.lines.get(place, 0), f"{key}: {text}")


class TomlTable:
    """Typed access to the fields of a table; collects a finding for each invalid one.

    Args:
      file: the file.
      table: the content of the table.
      prefix: the dotted path of the table with a dot at its end; empty for the root.
      findings: the list that the findings are added to.
    """

    def __init__(
        self,
        file: TomlFile,
        table: dict[str, Any],
        prefix: str,
        findings: list[Finding],
    ) -> None:
        self._file = file
        self._table = table
        self._prefix = prefix
        self._findings = findings

    def read(self, kind: str, name: str, fallback: Any, *default: Any) -> Any:
        """Return the value of a field.

        Args:
          kind: the kind of the value, a key of `KINDS`.
          name: the name of the field.
          fallback: returned after a finding.
          *default: returned if the field is missing; without it, the field is
            required.
        """
        if name not in self._table:
            if default:
                return default[0]
            text = "missing"
        else:
            value = self._table[name]
            is_valid, expected = KINDS[kind]
            if is_valid(value):
                return value
            text = f"{value!r} is not {expected}"
        self._findings.append(self._file.finding(self._prefix + name, text))
        return fallback

    def table(self, name: str, *, is_optional: bool = False) -> TomlTable:
        """Return a table; an empty one after a finding, or if it is optional."""
        default: tuple[Any, ...] = ({},) if is_optional else ()
        table = self.read("table", name, {}, *default)
        return TomlTable(self._file, table, f"{self._prefix}{name}.", self._findings)


def _is_list_of(kind: type) -> Callable[[Any], bool]:
    return lambda value: (
        isinstance(value, list) and all(type(item) is kind for item in value)
    )


# Predicate and description of each kind of value.
KINDS: dict[str, tuple[Callable[[Any], bool], str]] = {
    "flag": (lambda value: isinstance(value, bool), "true or false"),
    "integer": (lambda value: type(value) is int, "an integer"),
    "integers": (
        lambda value: bool(value) and _is_list_of(int)(value),
        "a non-empty list of integers",
    ),
    "number": (lambda value: type(value) in (int, float), "a number"),
    "table": (lambda value: isinstance(value, dict), "a table"),
    "text": (lambda value: isinstance(value, str), "a string"),
    "texts": (_is_list_of(str), "a list of strings"),
}


def _scan_lines(text: str) -> dict[str, int]:
    lines: dict[str, int] = {}
    table: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if header := _HEADER.match(line):
            table = _parts(header["path"])
            lines.setdefault(".".join(table), number)
        elif key := _KEY.match(line):
            lines.setdefault(".".join([*table, *_parts(key["path"])]), number)
    return lines


def _parts(path: str) -> list[str]:
    return [part.strip("\"'") for part in re.findall(_PART, path)]
