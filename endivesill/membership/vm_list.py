"""Readers of the platform's list of VMs, by kind.

The list may be out of date, so that it only adds information. A listed VM that is
unknown is tried as a join address; a VM or target listed as leaving is leaving. A
VM that is missing from the list or listed as staying does not override what probes,
gossip or load reports have found.
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
    """One VM of the platform's list: a VM of the system or of a target.

    Attributes:
      name: the name of the VM in the settings or of the target in the configuration.
      address: its peer address as HOST:PORT; empty for a target.
      leaving: whether the platform is going to remove it.
      leaving_in_s: seconds until the removal; None if not known.
    """

    name: str
    address: str = schema.field("peer address of a VM of the system", default="")
    leaving: bool = schema.field(
        "the platform is going to remove the VM", default=False
    )
    leaving_in_s: float | None = schema.field(
        "seconds until the removal", default=None, minimum=0
    )


@attrs.frozen
class VmList:
    """The content of the list at one time.

    Attributes:
      as_of: the platform's time of the list, in seconds; a list that is older than
        the last one is ignored.
      vms: the VMs by name.
    """

    as_of: float
    vms: dict[str, ListedVm]


class VmListReader:
    """Base class of the readers.

    Args:
      source: where the list is, such as the path of a file.
    """

    def __init__(self, source: str) -> None:
        self.source = source

    async def read(self) -> VmList:
        """Read the list.

        Raises:
          VmListError: the list cannot be read.
        """
        raise NotImplementedError


def vm_list(kind: str) -> Callable[[ReaderT], ReaderT]:
    """Register a reader class under the name that settings use."""

    def register(reader: ReaderT) -> ReaderT:
        VM_LISTS[kind] = reader
        return reader

    return register


def make_vm_list(kind: str, source: str) -> VmListReader:
    """Return a reader of a registered kind.

    Raises:
      VmListError: the kind is unknown.
    """
    reader = VM_LISTS.get(kind)
    if reader is None:
        raise errors.VmListError(f"unknown kind of VM list: {kind!r}")
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
    """The reader for a platform without a VM list."""

    async def read(self) -> VmList:
        """Return an empty list."""
        return VmList(0.0, {})


@vm_list("ini")
class IniVmList(VmListReader):
    """An INI file with a section `[vm NAME]` for each VM."""

    async def read(self) -> VmList:
        """Read the file; its modification time is the time of the list."""
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
    """A file with one JSON object per line, with the fields of `ListedVm`."""

    async def read(self) -> VmList:
        """Read the file; its modification time is the time of the list."""
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
