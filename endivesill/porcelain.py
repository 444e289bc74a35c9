"""Plain functions for each action of an operator.

Those that reach the fleet take an `OperatorClient`; the command-line tool is a
thin layer over them.
"""

from __future__ import annotations

import itertools
import pathlib
import uuid
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs

from endivesill import errors
from endivesill.configuration import Folder, read_folder
from endivesill.configuration.changes import Change, digest_of_documents
from endivesill.configuration.folder import read_base_revision, write_base_revision
from endivesill.explain import Story
from endivesill.explain import explain as story_of
from endivesill.findings import Finding
from endivesill.load import LoadRunner, Summary, read_experiment, summarize
from endivesill.operators.client import OperatorClient
from endivesill.peers import Message
from endivesill.platform.check import check_files
from endivesill.timer import SystemTimer

__all__ = [
    "ChangeAnswer",
    "FolderDifference",
    "change_item",
    "config_apply",
    "config_check",
    "config_diff",
    "config_history",
    "config_show",
    "control_add",
    "control_remove",
    "control_replace",
    "control_status",
    "explain",
    "fleet_status",
    "load",
    "platform_check",
    "status",
    "vm_drain",
]

PROGRESS_POLL_S = 0.2

Report = Callable[[str], None]


@attrs.frozen
class FolderDifference:
    """What an apply of a folder would change.

    Attributes:
      revision: the revision of the fleet that the folder was compared with.
      folder_revision: the newest revision that changed the folder's layer.
      change: the items that differ.
      origins: `FILE:LINE` of each value of the changed items.
      before: the documents that would change, as the fleet has them.
    """

    revision: int
    folder_revision: int
    change: Change
    origins: dict[str, dict[str, str]]
    before: dict[str, dict[str, Any]]


@attrs.frozen
class ChangeAnswer:
    """How a change ended.

    Attributes:
      outcome: `accepted` or `unchanged`.
      revision: the revision that holds the change.
      number: the change's number; the same one may be sent again.
      in_force: whether no VM can start work under an older revision.
      waiting_for: the VMs that may still do so.
      without_lease: VMs that did not acknowledge it and can start no work.
    """

    outcome: str
    revision: int
    number: str
    in_force: bool
    waiting_for: tuple[str, ...]
    without_lease: tuple[str, ...]


def config_check(folder: str) -> Folder:
    """Read and check an operators' folder.

    Raises:
      FindingsError: with every finding, each with file and line.
    """
    return read_folder(folder)


async def config_diff(client: OperatorClient, folder: str) -> FolderDifference:
    """Compare a folder with what the fleet has.

    Raises:
      FindingsError: the folder is not in order.
      UnavailableError: the fleet cannot be asked.
    """
    return await _difference(client, read_folder(folder))


async def _difference(client: OperatorClient, folder: Folder) -> FolderDifference:
    current = await client.get("/v1/configuration")
    documents = current["documents"]
    change = folder.change_from(documents)
    return FolderDifference(
        current["revision"],
        current["folder_revision"],
        change,
        {key: folder.origin_texts(key) for key in change.changed},
        {key: documents[key] for key in change.touched_keys if key in documents},
    )


async def config_apply(
    client: OperatorClient,
    folder: str,
    number: str,
    operator: str,
    *,
    base_revision: int | None = None,
    wait_s: float = 10.0,
    report: Report = lambda text: None,
) -> ChangeAnswer:
    """Apply a folder and wait until it is in force everywhere.

    Args:
      client: reaches the fleet.
      folder: the folder.
      number: the operator's number of the change.
      operator: the operator's name.
      base_revision: the revision that the folder was made from; without it the
        one that the last apply left in the folder.
      wait_s: how long to wait until it is in force.
      report: takes the news as it comes.

    Raises:
      FindingsError: the folder is not in order; nothing was changed.
      ConflictError: another operator was first; nothing was changed.
      OutcomeUnknownError: send the same number again.
    """
    read = read_folder(folder)
    if base_revision is None:
        base_revision = read_base_revision(folder)
    difference = await _difference(client, read)
    if base_revision is None:
        if difference.folder_revision:
            raise errors.ConflictError(
                "it is not known which revision the folder was made from; look at "
                f"`config diff` and give --base-revision {difference.revision}"
            )
        base_revision = 0
    message = {
        "number": number,
        "digest": digest_of_documents(read.documents),
        "operator": operator,
        "base_revision": base_revision,
        "changed": difference.change.changed,
        "removed": list(difference.change.removed),
        "origins": difference.origins,
    }
    answer = await client.post("/v1/configuration/apply", message)
    write_base_revision(folder, answer["revision"])
    return await _wait_in_force(client, answer, number, wait_s, report)


async def change_item(
    client: OperatorClient,
    key: str,
    value: bool,
    operator: str,
    *,
    number: str = "",
    wait_s: float = 10.0,
    report: Report = lambda text: None,
) -> ChangeAnswer:
    """Take one item out or put it back, and wait until that is in force.

    Args:
      client: reaches the fleet.
      key: the item, such as `data-centre/a`.
      value: true to take it out, false to put it back.
      operator: the operator's name.
      number: the number of the change; a new one if empty.
      wait_s: how long to wait until it is in force.
      report: takes the news as it comes.

    Raises:
      FindingsError: there is no such item; nothing was changed.
      OutcomeUnknownError: send the same number again.
    """
    number = number or uuid.uuid4().hex
    message = {
        "number": number,
        "digest": f"{key}={value}",
        "operator": operator,
        "key": key,
        "value": value,
    }
    answer = await client.post("/v1/configuration/change", message)
    return await _wait_in_force(client, answer, number, wait_s, report)


async def _wait_in_force(
    client: OperatorClient,
    answer: Message,
    number: str,
    wait_s: float,
    report: Report,
) -> ChangeAnswer:
    revision = answer["revision"]
    report(f"{answer['outcome']}: revision {revision}")
    accepted_s = client.timer.now_s()
    while True:
        accepted_for_s = client.timer.now_s() - accepted_s
        try:
            progress = await client.get(
                "/v1/configuration/progress",
                revision=revision,
                accepted_for_s=accepted_for_s,
            )
        except errors.UnavailableError:
            progress = {"in_force": False, "waiting_for": [], "without_lease": []}
        if progress["in_force"] or accepted_for_s >= wait_s:
            break
        await client.timer.sleep(PROGRESS_POLL_S)
    result = ChangeAnswer(
        answer["outcome"],
        revision,
        number,
        progress["in_force"],
        tuple(progress["waiting_for"]),
        tuple(progress["without_lease"]),
    )
    report(_progress_text(result))
    return result


def _progress_text(answer: ChangeAnswer) -> str:
    if not answer.in_force:
        names = ", ".join(answer.waiting_for) or "the control VMs, which do not answer"
        return f"not in force everywhere yet, waiting for: {names}"
    if answer.without_lease:
        names = ", ".join(answer.without_lease)
        return f"in force everywhere; without a lease, so taking no work: {names}"
    return "in force everywhere"


async def config_show(client: OperatorClient, *, origin: bool = False) -> Message:
    """Return both layers of the configuration, with origins if wanted."""
    parameters = {"origins": 1} if origin else {}
    return await client.get("/v1/configuration", **parameters)


async def config_history(client: OperatorClient, limit: int = 20) -> Message:
    """Return the last changes, the newest first."""
    return await client.get("/v1/configuration/history", limit=limit)


async def control_status(client: OperatorClient) -> Message:
    """Return the control replicas as their leader sees them."""
    return await client.get("/v1/control")


async def control_add(client: OperatorClient, address: str) -> Message:
    """Make the replica at a peer address a voter once it has caught up."""
    return await _change_voters(client, "add", "", address)


async def control_remove(client: OperatorClient, replica: str) -> Message:
    """Remove a voter or learner, given by identity or peer address."""
    return await _change_voters(client, "remove", replica, "")


async def control_replace(
    client: OperatorClient, replica: str, address: str
) -> Message:
    """Put the replica at a peer address in the place of another one."""
    return await _change_voters(client, "replace", replica, address)


async def _change_voters(
    client: OperatorClient, operation: str, replica: str, address: str
) -> Message:
    body = {"replica": replica, "address": address}
    return await client.post(f"/v1/control/{operation}", body)


async def fleet_status(client: OperatorClient) -> Message:
    """Return all VMs and which of them may be stopped next."""
    return await client.get("/v1/fleet")


async def status(client: OperatorClient) -> Message:
    """Return the summary of the VM that answers."""
    return await client.get("/v1/status")


async def vm_drain(client: OperatorClient) -> Message:
    """Begin the planned stop of the VM that is asked."""
    return await client.post("/v1/drain", {})


def platform_check(settings: str | None, deploy: str | None) -> list[Finding]:
    """Return what is wrong with a settings file and a deploy file.

    Args:
      settings: the settings file of a process; None to leave it out.
      deploy: the deploy file; None to leave it out.

    Raises:
      EndivesillError: neither file is named.
    """
    if settings is None and deploy is None:
        raise errors.EndivesillError("name a settings file, or a deploy file")
    return check_files(settings, deploy)


def explain(log_files: Iterable[pathlib.Path], request_id: str) -> Story:
    """Tell from log files what happened to a request.

    Raises:
      EndivesillError: a file cannot be read, or none names the request.
    """
    try:
        lines = itertools.chain.from_iterable(_lines(path) for path in log_files)
        story = story_of(lines, request_id)
    except OSError as error:
        raise errors.EndivesillError(str(error)) from None
    if story is None:
        raise errors.EndivesillError(f"no log line names request {request_id}")
    return story


def _lines(path: pathlib.Path) -> Iterator[str]:
    with path.open(encoding="utf-8", errors="replace") as file:
        yield from file


async def load(experiment_file: str) -> Summary:
    """Run an experiment of the load tool and sum it up.

    Raises:
      FindingsError: the experiment's file is wrong.
    """
    experiment = read_experiment(experiment_file)
    records = await LoadRunner(experiment, SystemTimer()).run()
    settings = experiment.settings
    return summarize(records, settings.duration_s, settings.stall_threshold_ms / 1000)
