"""The operators' folder: INI files merged in the order of their names.

A section is `[kind NAME]`. A later file overrides single keys of an earlier
one; each value keeps the place it came from.
"""

from __future__ import annotations

import pathlib
from typing import Any

import attrs

from endivesill import errors, schema
from endivesill.configuration import model
from endivesill.findings import Finding
from endivesill.ini import IniSection, parse_ini

__all__ = ["Folder", "merge_sections", "read_folder"]


@attrs.frozen
class Folder:
    """A folder that was read and checked.

    Attributes:
      documents: the items' documents by key, such as `service/plan-llm`.
      origins: file and line of each value, by key and field.
    """

    documents: dict[str, dict[str, Any]]
    origins: dict[str, dict[str, tuple[str, int]]]


def read_folder(path: str) -> Folder:
    """Read, merge and check all `*.ini` files of a folder.

    Raises:
      FindingsError: with every finding, each with file and line.
    """
    folder = pathlib.Path(path)
    if not folder.is_dir():
        raise errors.FindingsError([Finding(path, 0, "is not a folder")])
    sections: list[IniSection] = []
    findings: list[Finding] = []
    for file in sorted(folder.glob("*.ini")):
        try:
            text = file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            findings.append(Finding(str(file), 0, str(error)))
            continue
        file_sections, file_findings = parse_ini(text, str(file))
        sections.extend(file_sections)
        findings.extend(file_findings)
    if not sections and not findings:
        findings.append(Finding(path, 0, "holds no INI section"))
    return merge_sections(sections, findings)


def merge_sections(
    sections: list[IniSection], findings: list[Finding] | None = None
) -> Folder:
    """Merge sections in their order and check the whole.

    Raises:
      FindingsError: with the findings given and all others.
    """
    findings = list(findings or [])
    merged: dict[str, IniSection] = {}
    for section in sections:
        kind, _, name = section.name.partition(" ")
        name = name.strip()
        if kind not in model.ITEM_KINDS or not name:
            text = f"[{section.name}] is not [KIND NAME] of a known kind"
            findings.append(Finding(section.file, section.line, text))
            continue
        key = f"{kind}/{name}"
        if key not in merged:
            merged[key] = IniSection(section.name, section.file, section.line)
        merged[key].values.update(section.values)
    items: dict[str, Any] = {}
    for key, section in merged.items():
        kind, _, name = key.partition("/")
        item, item_findings = schema.read_section(
            section, model.ITEM_KINDS[kind], {"name": name}
        )
        findings.extend(item_findings)
        if item is not None:
            items[key] = item
    documents = {key: model.item_to_document(item) for key, item in items.items()}
    if len(items) == len(merged):
        configuration = model.configuration_from_documents(0, documents)
        findings.extend(
            configuration.findings(lambda key: (merged[key].file, merged[key].line))
        )
    if findings:
        raise errors.FindingsError(sorted(findings))
    origins = {
        key: {name: (v.file, v.line) for name, v in section.values.items()}
        for key, section in merged.items()
    }
    return Folder(documents, origins)
