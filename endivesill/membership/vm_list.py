"""The platform's list of VMs, which lags: adapters by kind.

The list only adds knowledge. A VM that it names and that is not known is tried; a
VM or a target that it calls leaving is leaving. What it does not name, or calls
live, changes nothing that was found out otherwise.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
from collections.abc import Callable
from typing import TypeVar

import attrs

from endivesill import errors, schema
from endivesill.ini import parse_ini

__all__ = ["VM_LISTS", "ListedVm", "VmList", "VmListReader", "make_vm_list", "vm_list"]

ReaderT = TypeVar("ReaderT", bound="type[VmListReader]")

VM_LISTS: dict[str, type[VmListReader]] = {}


@attrs.frozen
class ListedVm:
    """One VM of the platform's list, of the system or of a target.

    Attributes:
      name: the VM's name, as the settings or the configuration have it.
      address: its peer address; empty for a target.
      leaving: whether the platform will take it away.
      leaving_in_s: seconds until then, if the platform says.
    """

    name: str
    address: str = schema.field("peer address of a VM of the system", default="")
    leaving: bool = schema.field("the platform takes the VM away", default=False)
    leaving_in_s: float | None = schema.field(
        "seconds until then", default=None, minimum=0
    )


@attrs.frozen
class VmList:
    """One reading of the list.

    Attributes:
      as_of: the platform's time of it; an older one than the last is left out.
      vms: the VMs by name.
    """

    as_of: float
    vms: dict[str, ListedVm]


class VmListReader:
    """Base of the adapters.

    Args:
      source: where the list is, such as a file's path.
    """

    def __init__(self, source: str) -> None:
        self.source = source

    async def read(self) -> VmList:
        """Read the list.

        Raises:
          VmListError: it cannot be read.
        """
        raise NotImplementedError


def vm_list(kind: str) -> Callable[[ReaderT], ReaderT]:
    """Register a reader class under the name that settings use."""

    def register(reader: ReaderT) -> ReaderT:
        VM_LISTS[kind] = reader
        return reader

    return register


def make_vm_list(kind: str, source: str) -> VmListReader:
    """Build the reader of a kind.

    Raises:
      VmListError: there is no such kind.
    """
    reader = VM_LISTS.get(kind)
    if reader is None:
        raise errors.VmListError(f"no VM list of the kind {kind!r}")
    return reader(source)


async def _read_file(source: str) -> tuple[str, float]:
    path = pathlib.Path(source)

    def read() -> tuple[str, float]:
        return path.read_text(encoding="utf-8"), path.stat().st_mtime

    try:
        return await asyncio.to_thread(read)
    except (OSError, UnicodeDecodeError) as error:
        raise errors.VmListError(f"{source}: {error}") from None


@vm_list("none")
class NoVmList(VmListReader):
    """A platform without a list."""

    async def read(self) -> VmList:
        """Return an empty list."""
        return VmList(0.0, {})


@vm_list("ini")
class IniVmList(VmListReader):
    """A file with a section `[vm NAME]` for each VM."""

    async def read(self) -> VmList:
        """Read the file; its time is that of the list."""
        text, modified_s = await _read_file(self.source)
        sections, findings = parse_ini(text, self.source)
        vms = {}
        for section in sections:
            name = section.name.partition(" ")[2].strip()
            listed, faults = schema.read_section(section, ListedVm, {"name": name})
            findings.extend(faults)
            if listed is not None:
                vms[name] = listed
        if findings:
            raise errors.VmListError("; ".join(str(f) for f in findings))
        return VmList(modified_s, vms)


@vm_list("json-lines")
class JsonLinesVmList(VmListReader):
    """A file with a JSON object a line: name, address, leaving, leaving_in_s."""

    async def read(self) -> VmList:
        """Read the file; its time is that of the list."""
        text, modified_s = await _read_file(self.source)
        vms = {}
        for number, line in enumerate(text.splitlines(), start=1):
            if not line.strip():
                continue
            try:
                listed = ListedVm(**json.loads(line))
            except (TypeError, ValueError) as error:
                raise errors.VmListError(f"{self.source}:{number}: {error}") from None
            vms[listed.name] = listed
        return VmList(modified_s, vms)
