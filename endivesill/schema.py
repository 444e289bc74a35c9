"""Typed reading of INI sections into attrs classes.

A class's fields say type, default, bounds and meaning; `read_section` turns a
section into an instance and collects every finding.
"""

from __future__ import annotations

import typing
from collections.abc import Callable
from typing import Any, TypeVar

import attrs

from endivesill.findings import Finding
from endivesill.ini import IniSection, IniValue

__all__ = ["check_values", "field", "markdown_keys", "read_section"]

T = TypeVar("T")

_BOOLEANS = {"yes": True, "true": True, "no": False, "false": False}


def field(
    doc: str,
    *,
    default: Any = attrs.NOTHING,
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[str, ...] = (),
    check: Callable[[Any], str | None] | None = None,
) -> Any:
    """Declare a field that can be read from an INI key.

    Args:
      doc: the meaning, in one line.
      default: the value without a key; a field without one is required.
      minimum: the least number allowed.
      maximum: the largest number allowed.
      choices: the words allowed.
      check: returns what is wrong with a value, or None.
    """
    metadata = {
        "doc": doc,
        "minimum": minimum,
        "maximum": maximum,
        "choices": choices,
        "check": check,
    }
    return attrs.field(default=default, metadata=metadata, kw_only=True)


def read_section(
    section: IniSection, kind: type[T], fixed: dict[str, Any] | None = None
) -> tuple[T | None, list[Finding]]:
    """Read one section into a class.

    Args:
      section: the section with its places.
      kind: the attrs class.
      fixed: values that do not come from keys, such as a name.

    Returns:
      The instance, or None with one finding or more.
    """
    findings: list[Finding] = []
    values: dict[str, Any] = dict(fixed or {})
    hints = typing.get_type_hints(kind)
    names = {}
    for attribute in attrs.fields(kind):  # type: ignore[arg-type]
        if attribute.name not in values and "doc" in attribute.metadata:
            names[attribute.name] = attribute
    for key, raw in section.values.items():
        if key not in names:
            findings.append(Finding(raw.file, raw.line, f"unknown key {key}"))
    for name, attribute in names.items():
        given = section.values.get(name)
        if given is not None:
            try:
                values[name] = _parse(given, hints[name], attribute.metadata)
            except ValueError as error:
                findings.append(Finding(given.file, given.line, f"{name}: {error}"))
        elif attribute.default is attrs.NOTHING:
            text = f"[{section.name}] needs the key {name}"
            findings.append(Finding(section.file, section.line, text))
    if findings:
        return None, findings
    return kind(**values), []


def check_values(kind: type, values: dict[str, Any]) -> list[str]:
    """Check typed values, such as those of a JSON document, against a class.

    Args:
      kind: the attrs class.
      values: the values by field; fields with a default may be missing.

    Returns:
      What is wrong, one text for each field.
    """
    problems = []
    hints = typing.get_type_hints(kind)
    attributes = {a.name: a for a in attrs.fields(kind) if "doc" in a.metadata}
    for name in sorted(values.keys() - attributes.keys()):
        problems.append(f"unknown key {name}")
    for name, attribute in attributes.items():
        if name not in values:
            if attribute.default is attrs.NOTHING:
                problems.append(f"needs the key {name}")
            continue
        value = values[name]
        if not _has_type(value, hints[name]):
            problems.append(f"{name}: {value!r} has the wrong type")
            continue
        if isinstance(value, list):
            value = tuple(value)
        try:
            _check(value, attribute.metadata)
        except ValueError as error:
            problems.append(f"{name}: {error}")
    return problems


def _has_type(value: Any, hint: Any) -> bool:
    if typing.get_origin(hint) is tuple:
        is_sequence = isinstance(value, (list, tuple))
        return is_sequence and all(isinstance(word, str) for word in value)
    if hint is bool:
        return isinstance(value, bool)
    if isinstance(value, bool):
        return False
    if hint is float:
        return isinstance(value, (int, float)) and abs(value) < float("inf")
    return isinstance(value, hint)


def _parse(given: IniValue, hint: Any, metadata: Any) -> Any:
    value = _convert(given.text.strip(), hint)
    _check(value, metadata)
    return value


def _check(value: Any, metadata: Any) -> None:
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        if metadata["minimum"] is not None and value < metadata["minimum"]:
            raise ValueError(f"{value} is under {metadata['minimum']}")
        if metadata["maximum"] is not None and value > metadata["maximum"]:
            raise ValueError(f"{value} is over {metadata['maximum']}")
    if metadata["choices"] and value not in metadata["choices"]:
        raise ValueError(f"{value!r} is none of {', '.join(metadata['choices'])}")
    if metadata["check"] is not None:
        problem = metadata["check"](value)
        if problem:
            raise ValueError(problem)


def _convert(text: str, hint: Any) -> Any:
    if hint is bool:
        if text.lower() not in _BOOLEANS:
            raise ValueError(f"{text!r} is neither yes nor no")
        return _BOOLEANS[text.lower()]
    if hint is int:
        return _number(text, int, "a whole number")
    if hint is float:
        return _number(text, float, "a number")
    if hint is str:
        if not text:
            raise ValueError("is empty")
        return text
    if typing.get_origin(hint) is tuple:
        return tuple(part for part in text.replace(",", " ").split())
    if type(None) in typing.get_args(hint):
        inner = next(a for a in typing.get_args(hint) if a is not type(None))
        return _convert(text, inner)
    raise TypeError(f"a field of type {hint} cannot be read")


def _number(text: str, kind: Callable[[str], Any], words: str) -> Any:
    try:
        value = kind(text)
    except ValueError:
        raise ValueError(f"{text!r} is not {words}") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(f"{text!r} is not {words}")
    return value


def markdown_keys(kind: type) -> str:
    """Return a class's keys as a table for the documentation."""
    rows = [
        "| key | type | default | bounds | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    hints = typing.get_type_hints(kind)
    for attribute in attrs.fields(kind):
        if "doc" not in attribute.metadata:
            continue
        rows.append(_markdown_row(attribute, hints[attribute.name]))
    return "\n".join(rows) + "\n"


def _markdown_row(attribute: Any, hint: Any) -> str:
    metadata = attribute.metadata
    default = attribute.default
    if default is attrs.NOTHING:
        shown = "required"
    elif default is None or default == ():
        shown = "none"
    elif isinstance(default, bool):
        shown = "yes" if default else "no"
    else:
        shown = str(default)
    bounds = ""
    if metadata["choices"]:
        bounds = " or ".join(metadata["choices"])
    elif metadata["minimum"] is not None or metadata["maximum"] is not None:
        low = "" if metadata["minimum"] is None else metadata["minimum"]
        high = "" if metadata["maximum"] is None else metadata["maximum"]
        bounds = f"{low} to {high}".strip()
    name = getattr(hint, "__name__", str(hint))
    if typing.get_origin(hint) is tuple:
        name = "words"
    elif type(None) in typing.get_args(hint):
        name = next(a for a in typing.get_args(hint) if a is not type(None)).__name__
    return f"| {attribute.name} | {name} | {shown} | {bounds} | {metadata['doc']} |"
