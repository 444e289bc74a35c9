"""The operations of the command-line tool as plain functions.

Functions that call the fleet take an `OperatorClient`.
"""

from __future__ import annotations

import itertools
import pathlib
import uuid
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from endivesill import errors
from endivesill.configuration import Folder, read_folder
from endivesill.configuration.changes import digest_of_documents
from endivesill.configuration.folder import read_base_revision, write_base_revision
from endivesill.explain import RequestTrace
from endivesill.explain import explain as trace_request
from endivesill.findings import Finding
from endivesill.folder_outcomes import ChangeOutcome, FolderDifference
from endivesill.load import LoadRunner, Summary, read_experiment, summarize
from endivesill.operators.client import OperatorClient
from endivesill.peers import Message
from endivesill.placement_client import read_placement
from endivesill.platform.check import check_files
from endivesill.platform.rollout_client import read_rollout, start_rollout
from endivesill.timer import SystemTimer

__all__ = [
    "ChangeOutcome",
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
    "platform_placement",
    "platform_rollout",
    "status",
    "vm_drain",
]

PROGRESS_POLL_PERIOD_S = 0.2

ProgressReporter = Callable[[str], None]


def config_check(folder: str) -> Folder:
    """Read and validate an operators' folder.

    Raises:
      FindingsError: with every finding, each with file and line.
    """
    return read_folder(folder)


async def config_diff(client: OperatorClient, folder: str) -> FolderDifference:
    """Compare a folder with the fleet's configuration.

    Raises:
      FindingsError: the folder is invalid.
      UnavailableError: no server responded.
    """
    return await _compare(client, read_folder(folder))


async def _compare(client: OperatorClient, folder: Folder) -> FolderDifference:
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
    report: ProgressReporter = lambda text: None,
) -> ChangeOutcome:
    """Apply a folder and wait until it is in force on all VMs.

    Args:
      client: the client of the fleet.
      folder: the path of the folder.
      number: the idempotency number of the change, chosen by the operator.
      operator: the operator's name.
      base_revision: the revision that the folder is based on; None for the one
        that the last apply recorded in the folder.
      wait_s: how long to wait until the change is in force.
      report: receives progress messages.

    Raises:
      FindingsError: the folder is invalid; nothing was changed.
      ConflictError: it conflicts with another operator's change; nothing was
        changed.
      OutcomeUnknownError: the change may have been applied; resend it with the
        same number.
    """
    local_folder = read_folder(folder)
    if base_revision is None:
        base_revision = read_base_revision(folder)
    difference = await _compare(client, local_folder)
    if base_revision is None:
        if difference.folder_revision:
            raise errors.ConflictError(
                "the folder has no recorded base revision; check `config diff`, then "
                f"apply it with --base-revision {difference.revision}"
            )
        base_revision = 0
    message = {
        "number": number,
        "digest": digest_of_documents(local_folder.documents),
        "operator": operator,
        "base_revision": base_revision,
        "changed": difference.change.changed,
        "removed": list(difference.change.removed),
        "origins": difference.origins,
    }
    response = await client.post("/v1/configuration/apply", message)
    write_base_revision(folder, response["revision"])
    return await _wait_in_force(client, response, number, wait_s, report)


async def change_item(
    client: OperatorClient,
    key: str,
    value: bool,
    operator: str,
    *,
    number: str = "",
    wait_s: float = 10.0,
    report: ProgressReporter = lambda text: None,
) -> ChangeOutcome:
    """Take an item out of service or put it back; wait until that is in force.

    Args:
      client: the client of the fleet.
      key: the key of the item, such as `data-centre/a`.
      value: true to take it out of service, false to put it back.
      operator: the operator's name.
      number: the idempotency number of the change; a random one if empty.
      wait_s: how long to wait until the change is in force.
      report: receives progress messages.

    Raises:
      FindingsError: there is no such item; nothing was changed.
      OutcomeUnknownError: the change may have been applied; resend it with the
        same number.
    """
    number = number or uuid.uuid4().hex
    message = {
        "number": number,
        "digest": f"{key}={value}",
        "operator": operator,
        "key": key,
        "value": value,
    }
    response = await client.post("/v1/configuration/change", message)
    return await _wait_in_force(client, response, number, wait_s, report)


async def _wait_in_force(
    client: OperatorClient,
    response: Message,
    number: str,
    wait_s: float,
    report: ProgressReporter,
) -> ChangeOutcome:
    revision = response["revision"]
    report(f"{response['outcome']}: revision {revision}")
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
        await client.timer.sleep(PROGRESS_POLL_PERIOD_S)
    result = ChangeOutcome(
        response["outcome"],
        revision,
        number,
        progress["in_force"],
        tuple(progress["waiting_for"]),
        tuple(progress["without_lease"]),
    )
    report(_progress_text(result))
    return result


def _progress_text(change_outcome: ChangeOutcome) -> str:
    if not change_outcome.in_force:
        names = (
            ", ".join(change_outcome.waiting_for)
            or "the control VMs, which do not respond"
        )
        return f"not in force everywhere yet, waiting for: {names}"
    if change_outcome.without_lease:
        names = ", ".join(change_outcome.without_lease)
        return f"in force everywhere; without a lease, so taking no work: {names}"
    return "in force everywhere"


async def config_show(client: OperatorClient, *, origin: bool = False) -> Message:
    """Return the folder's items and the single changes, optionally with origins."""
    parameters = {"origins": 1} if origin else {}
    return await client.get("/v1/configuration", **parameters)


async def config_history(client: OperatorClient, limit: int = 20) -> Message:
    """Return the last changes, the newest first."""
    return await client.get("/v1/configuration/history", limit=limit)


async def control_status(client: OperatorClient) -> Message:
    """Return the status of the control replicas as reported by their leader."""
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
    """Replace a voter or learner by the replica at a peer address."""
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
    """Return the status summary of the VM that responds."""
    return await client.get("/v1/status")


async def vm_drain(client: OperatorClient) -> Message:
    """Start a drain, the planned stop, of the VM that responds."""
    return await client.post("/v1/drain", {})


def platform_check(settings: str | None, deploy: str | None) -> list[Finding]:
    """Validate the settings file of a process and the deploy file.

    Args:
      settings: the path of the settings file; None to skip it.
      deploy: the path of the deploy file; None to skip it.

    Returns:
      The findings; empty if the files are valid.

    Raises:
      EndivesillError: neither file is given.
    """
    if settings is None and deploy is None:
        raise errors.EndivesillError(
            "no file to check: give a settings file, --deploy FILE, or both"
        )
    return check_files(settings, deploy)


def explain(log_files: Iterable[pathlib.Path], request_id: str) -> RequestTrace:
    """Assemble the trace of a request from log files.

    Raises:
      EndivesillError: a file cannot be read, or no file mentions the request.
    """
    try:
        lines = itertools.chain.from_iterable(_read_lines(path) for path in log_files)
        trace = trace_request(lines, request_id)
    except OSError as error:
        raise errors.EndivesillError(str(error)) from None
    if trace is None:
        raise errors.EndivesillError(f"no log line mentions request {request_id}")
    return trace


def _read_lines(path: pathlib.Path) -> Iterator[str]:
    with path.open(encoding="utf-8", errors="replace") as file:
        yield from file


async def load(experiment_file: str) -> Summary:
    """Run an experiment of the load generator and summarise it.

    Raises:
      FindingsError: the experiment file is invalid.
    """
    experiment = read_experiment(experiment_file)
    records = await LoadRunner(experiment, SystemTimer()).run()
    settings = experiment.settings
    return summarize(records, settings.duration_s, settings.stall_threshold_ms / 1000)


async def platform_placement(host: str, fields: Mapping[str, str]) -> dict[str, Any]:
    """Ask where a request would be placed now; it is not sent.

    Args:
      host: HOST or HOST:PORT of a control VM for generations, of an entry for plain
        requests.
      fields: the request, as text.

    Raises:
      EndivesillError: there is no answer, or the process cannot say.
    """
    return await read_placement(SystemTimer(), host, fields)


async def platform_rollout(
    address: str,
    service: str,
    version: str | None,
    duration_s: float | None,
    report: ProgressReporter,
) -> str:
    """Start a roll-out on the platform, or follow the newest one, until it has ended.

    Args:
      address: HOST:PORT of a control VM.
      service: the service.
      version: the version that its traffic is moved to; None to follow only.
      duration_s: time budget of a new roll-out.
      report: called with each new state.

    Returns:
      The last state.

    Raises:
      EndivesillError: it was rejected, or its state is not known.
    """
    timer = SystemTimer()
    if version is not None:
        if duration_s is None:
            raise errors.OrderError("a roll-out needs a time budget")
        await start_rollout(timer, address, service, version, duration_s)
    shown = ""
    while True:
        state, running_version = await read_rollout(timer, address, service)
        text = f"{service} to {running_version}: {state}"
        if text != shown:
            report(text)
            shown = text
        if state != "running":
            return state
        await timer.sleep(PROGRESS_POLL_PERIOD_S)
