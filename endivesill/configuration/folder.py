"""The operators' folder: INI files merged in the order of their names.

Each section `[KIND NAME]` defines an item. A later file overrides single keys of an
earlier one. The origin of each value is kept as file and line.
"""

from __future__ import annotations

import pathlib
from typing import Any

import attrs

from endivesill import errors, schema
from endivesill.configuration import model
from endivesill.configuration.changes import Change, difference
from endivesill.findings import Finding
from endivesill.ini import IniSection, parse_ini

__all__ = [
    "BASE_REVISION_FILE",
    "Folder",
    "merge_sections",
    "read_base_revision",
    "read_folder",
    "write_base_revision",
]

BASE_REVISION_FILE = ".endivesill-revision"


@attrs.frozen
class Folder:
    """The valid content of a folder.

    Attributes:
      documents: the documents by key, such as `service/plan-llm`.
      origins: file and line of each value, by key and field.
    """

    documents: dict[str, dict[str, Any]]
    origins: dict[str, dict[str, tuple[str, int]]]

    def change_from(self, documents: dict[str, dict[str, Any]]) -> Change:
        """Return the change that turns other documents into those of the folder."""
        return difference(documents, self.documents)

    def origin_texts(self, key: str) -> dict[str, str]:
        """Return `FILE:LINE` of each value of an item, without the folder's path."""
        return {
            field: f"{pathlib.PurePath(file).name}:{line}"
            for field, (file, line) in self.origins.get(key, {}).items()
        }


def read_folder(path: str) -> Folder:
    """Read, merge and validate all `*.ini` files of a folder.

    Raises:
      FindingsError: the folder is invalid; has all findings with file and line.
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
    """Merge sections in order and validate the result.

    Raises:
      FindingsError: there are findings; has the given ones and all others.
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
    documents: dict[str, dict[str, Any]] = {}
    for key, section in merged.items():
        kind, _, name = key.partition("/")
        item, item_findings = schema.read_section(
            section, model.ITEM_KINDS[kind], {"name": name}
        )
        findings.extend(item_findings)
        if item is not None:
            documents[key] = model.item_to_document(item)
    findings.extend(_cross_item_findings(documents, merged))
    if findings:
        raise errors.FindingsError(sorted(findings))
    origins = {
        key: {name: (v.file, v.line) for name, v in section.values.items()}
        for key, section in merged.items()
    }
    return Folder(documents, origins)


def _cross_item_findings(
    documents: dict[str, dict[str, Any]], merged: dict[str, IniSection]
) -> list[Finding]:
    """Return what is wrong between items; references to invalid items are valid."""
    findings = []
    owners: dict[str, str] = {}
    for key, document in documents.items():
        section = merged[key]
        problems = model.reference_findings(key, document, merged.__contains__)
        if key.startswith("limits/") and key != "limits/default":
            problems.append("the limits are one item named default")
        owner = owners.setdefault(document.get("key_sha256", key), key)
        if owner != key:
            problems.append(f"{key} has the same key as {owner}")
        for text in problems:
            findings.append(Finding(section.file, section.line, text))
    return findings


def read_base_revision(path: str) -> int | None:
    """Return the revision that a folder is based on, or None without the file.

    Raises:
      FindingsError: the file cannot be read or has no revision.
    """
    file = pathlib.Path(path) / BASE_REVISION_FILE
    try:
        return int(file.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise errors.FindingsError([Finding(str(file), 1, str(error))]) from None


def write_base_revision(path: str, revision: int) -> None:
    """Write the revision that a folder is based on."""
    file = pathlib.Path(path) / BASE_REVISION_FILE
    file.write_text(f"{revision}\n", encoding="utf-8")
