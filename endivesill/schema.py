"""Declarative parsing and validation of INI sections into attrs classes.

The fields of a class declare type, default, bounds and meaning. `read_section`
parses a section into an instance and collects all findings.
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

_BOOLEAN_BY_TEXT = {"yes": True, "true": True, "no": False, "false": False}


def field(
    doc: str,
    *,
    default: Any = attrs.NOTHING,
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[str, ...] = (),
    check: Callable[[Any], str | None] | None = None,
) -> Any:
    """Declare an attrs field that is read from an INI key.

    Args:
      doc: the meaning, in one line of the reference page.
      default: the value if the key is missing; without it the key is required.
      minimum: the smallest allowed number.
      maximum: the largest allowed number.
      choices: the allowed strings; empty for any.
      check: returns a description of the error in a value, or None.
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
    """Parse a section into an instance of a class.

    Args:
      section: the section, with file and line of each value.
      kind: the attrs class.
      fixed: values of fields that are not read from keys, such as a name.

    Returns:
      The instance without findings, or None with at least one finding.
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
        ini_value = section.values.get(name)
        if ini_value is not None:
            try:
                values[name] = _parse_and_check(
                    ini_value, hints[name], attribute.metadata
                )
            except ValueError as error:
                findings.append(
                    Finding(ini_value.file, ini_value.line, f"{name}: {error}")
                )
        elif attribute.default is attrs.NOTHING:
            text = f"[{section.name}] lacks the required key {name}"
            findings.append(Finding(section.file, section.line, text))
    if findings:
        return None, findings
    return kind(**values), []


def check_values(kind: type, values: dict[str, Any]) -> list[str]:
    """Validate typed values, such as those of a JSON document, against a class.

    Args:
      kind: the attrs class.
      values: the values by field; fields with a default may be missing.

    Returns:
      A description of each error, at most one per field.
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
            _check_value(value, attribute.metadata)
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


def _parse_and_check(ini_value: IniValue, hint: Any, metadata: Any) -> Any:
    value = _parse_text(ini_value.text.strip(), hint)
    _check_value(value, metadata)
    return value


def _check_value(value: Any, metadata: Any) -> None:
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


def _parse_text(text: str, hint: Any) -> Any:
    if hint is bool:
        if text.lower() not in _BOOLEAN_BY_TEXT:
            raise ValueError(f"{text!r} is not a boolean; use yes or no")
        return _BOOLEAN_BY_TEXT[text.lower()]
    if hint is int:
        return _parse_number(text, int, "an integer")
    if hint is float:
        return _parse_number(text, float, "a number")
    if hint is str:
        if not text:
            raise ValueError("the value must not be empty")
        return text
    if typing.get_origin(hint) is tuple:
        return tuple(part for part in text.replace(",", " ").split())
    if type(None) in typing.get_args(hint):
        inner = next(a for a in typing.get_args(hint) if a is not type(None))
        return _parse_text(text, inner)
    raise TypeError(f"fields of type {hint} cannot be read from INI")


def _parse_number(text: str, kind: Callable[[str], Any], description: str) -> Any:
    try:
        value = kind(text)
    except ValueError:
        raise ValueError(f"{text!r} is not {description}") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(f"{text!r} is not {description}")
    return value


def markdown_keys(kind: type) -> str:
    """Return the keys of a class as a Markdown table."""
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
        default_text = "required"
    elif default is None or default == ():
        default_text = "none"
    elif isinstance(default, bool):
        default_text = "yes" if default else "no"
    else:
        default_text = str(default)
    bounds = ""
    if metadata["choices"]:
        bounds = " or ".join(metadata["choices"])
    elif metadata["minimum"] is not None or metadata["maximum"] is not None:
        minimum_text = "" if metadata["minimum"] is None else metadata["minimum"]
        maximum_text = "" if metadata["maximum"] is None else metadata["maximum"]
        bounds = f"{minimum_text} to {maximum_text}".strip()
    name = getattr(hint, "__name__", str(hint))
    if typing.get_origin(hint) is tuple:
        name = "words"
    elif type(None) in typing.get_args(hint):
        name = next(a for a in typing.get_args(hint) if a is not type(None)).__name__
    return (
        f"| {attribute.name} | {name} | {default_text} | {bounds} | {metadata['doc']} |"
    )
