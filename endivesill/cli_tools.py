"""Commands that do not call an operator port: explain, load, platform."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Annotated, Literal

import cyclopts
from cyclopts import Parameter

from endivesill import errors, porcelain, presentation
from endivesill.explain import format_json, format_text
from endivesill.load import format_summary
from endivesill.placement_client import format_placement

__all__ = ["add_tools"]

LogOption = Annotated[
    list[pathlib.Path],
    Parameter(name="--log", consume_multiple=True),
]
OutputOption = Annotated[Literal["text", "json"], Parameter(name="--output")]


def explain(
    request_id: str, /, *, log: LogOption, output: OutputOption = "text"
) -> None:
    """Show the trace of a request, with the targets that were chosen and rejected.

    Parameters
    ----------
    request_id
        The id of the request, from the response header X-Request-Id.
    log
        The log files of the VMs.
    output
        The form of the output.
    """
    trace = porcelain.explain(log, request_id)
    if output == "json":
        print(presentation.to_json(format_json(trace)))
    else:
        print(format_text(trace))


def load(experiment: str, /, *, output: OutputOption = "text") -> None:
    """Run a load experiment against a running system and show its summary.

    Parameters
    ----------
    experiment
        The INI file that describes the experiment.
    output
        The form of the output.
    """
    summary = asyncio.run(porcelain.load(experiment))
    if output == "json":
        print(presentation.to_json(summary))
    else:
        print(format_summary(summary))


def platform_check(
    settings: str | None = None, /, *, deploy: str | None = None
) -> None:
    """Validate the settings file of a process and the deploy file.

    Parameters
    ----------
    settings
        The settings file that the platform wrote for a process.
    deploy
        The deploy file.

    Raises
    ------
    FindingsError
        If there are findings; the exit code is 2.
    """
    findings = porcelain.platform_check(settings, deploy)
    if findings:
        raise errors.FindingsError(findings)
    print("no findings")


def platform_rollout(
    service: str,
    /,
    *,
    at: str,
    version: str | None = None,
    within_s: float | None = None,
) -> int:
    """Move a service's traffic to another version, or follow the newest roll-out.

    Parameters
    ----------
    service
        The service.
    at
        HOST:PORT of a control VM.
    version
        The version; without it, the newest roll-out is followed.
    within_s
        The time budget in seconds.

    Returns
    -------
    int
        The exit code: 0 if it was completed, 1 if it was taken back.
    """
    state = asyncio.run(
        porcelain.platform_rollout(at, service, version, within_s, print)
    )
    return 0 if state == "completed" else 1


def platform_placement(
    service: str,
    /,
    *,
    at: str,
    prompt_tokens: int = 0,
    output_tokens: int = 0,
    pause_limit_s: float = 0.0,
    priority: int = 1,
    organisation: str = "",
    patience_s: float = 1.0,
    output: OutputOption = "text",
) -> None:
    """Show where a request would be placed now, and why; nothing is sent or reserved.

    Parameters
    ----------
    service
        The service.
    at
        HOST or HOST:PORT of the leading control VM for generations, of an entry for
        plain requests.
    prompt_tokens
        Tokens of the prompt.
    output_tokens
        Expected tokens of the output.
    pause_limit_s
        The longest pause that the route allows; 0 for any.
    priority
        The priority; 0 is the most urgent.
    organisation
        Who would send it.
    patience_s
        How long it could wait.
    output
        The form of the output.
    """
    fields = {
        "service": service,
        "prompt_tokens": str(prompt_tokens),
        "output_tokens": str(output_tokens),
        "pause_limit_s": str(pause_limit_s),
        "priority": str(priority),
        "organisation": organisation,
        "patience_s": str(patience_s),
    }
    document = asyncio.run(porcelain.platform_placement(at, fields))
    is_json = output == "json"
    print(presentation.to_json(document) if is_json else format_placement(document))


def add_tools(app: cyclopts.App) -> None:
    """Register the commands with the command-line application."""
    app.command(explain)
    app.command(load)
    platform = cyclopts.App(
        name="platform", help="Files and roll-outs of the platform."
    )
    platform.command(platform_check, name="check")
    platform.command(platform_rollout, name="rollout")
    platform.command(platform_placement, name="placement")
    app.command(platform)
