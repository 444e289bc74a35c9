"""The reference pages of the documentation, made from the code.

`python -m endivesill.reference DOCS` writes EVENTS.md and SETTINGS.md; a test
compares them with the code.
"""

from __future__ import annotations

import importlib
import pathlib
import pkgutil
import sys

import endivesill
from endivesill import events, schema, settings
from endivesill.configuration import model

__all__ = ["events_page", "import_all", "settings_page", "write_pages"]

EVENTS_HEAD = """# Events

Each line of the log is a JSON object of eliot; `event` is the number below.
The ranges: 1000 process, 2000 entry, 3000 routing, 4000 targets, 5000
configuration, 6000 control, 7000 membership and drain, 8000 orders and
placement. This page is made from the code by `python -m endivesill.reference`.

"""

SETTINGS_HEAD = """# Settings

Two kinds of INI files. The daemon's settings say who a VM is; the operators'
folder says what the fleet serves. A key's suffix is its unit: `_s` seconds,
`_ms` milliseconds, `_bytes`, `_tokens`. All findings are reported together as
`file:line: finding`. This page is made from the code by
`python -m endivesill.reference`.
"""


def import_all() -> None:
    """Import every module, so that all registries are filled."""
    for module in pkgutil.walk_packages(endivesill.__path__, "endivesill."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


def events_page() -> str:
    """Return docs/EVENTS.md."""
    return EVENTS_HEAD + events.markdown_catalogue()


def settings_page() -> str:
    """Return docs/SETTINGS.md."""
    parts = [SETTINGS_HEAD, "## The daemon's settings\n"]
    for name, kind in sorted(settings.SECTIONS.items()):
        parts.append(_section(f"[{name}]", kind))
    parts.append("## The operators' folder\n")
    for name, kind in sorted(model.ITEM_KINDS.items()):
        parts.append(_section(f"[{name} NAME]", kind))
    return "\n".join(parts)


def _section(title: str, kind: type) -> str:
    summary = (kind.__doc__ or "").strip().splitlines()[0]
    return f"### `{title}`\n\n{summary}\n\n{schema.markdown_keys(kind)}"


def write_pages(folder: pathlib.Path) -> None:
    """Write the pages into a folder."""
    import_all()
    (folder / "EVENTS.md").write_text(events_page(), encoding="utf-8")
    (folder / "SETTINGS.md").write_text(settings_page(), encoding="utf-8")


if __name__ == "__main__":
    write_pages(pathlib.Path(sys.argv[1]))
