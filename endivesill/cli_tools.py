"""Commands that need no operator port: explain, load, check of files."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Annotated, Literal

import cyclopts
from cyclopts import Parameter

from endivesill import porcelain, presentation
from endivesill.explain import format_json, format_text
from endivesill.load import format_summary

__all__ = ["add_tools"]

LogOption = Annotated[
    list[pathlib.Path],
    Parameter(name="--log", consume_multiple=True),
]
OutputOption = Annotated[Literal["text", "json"], Parameter(name="--output")]


def explain(
    request_id: str, /, *, log: LogOption, output: OutputOption = "text"
) -> None:
    """Tell from the log why a request went where it went.

    Parameters
    ----------
    request_id
        The request's id, as the answer's X-Request-Id gives it.
    log
        Log files of the VMs.
    output
        The form of the answer.
    """
    trace = porcelain.explain(log, request_id)
    if output == "json":
        print(presentation.to_json(format_json(trace)))
    else:
        print(format_text(trace))


def load(experiment: str, /, *, output: OutputOption = "text") -> None:
    """Send load to a running system and sum up what callers saw.

    Parameters
    ----------
    experiment
        The INI file of the experiment.
    output
        The form of the answer.
    """
    summary = asyncio.run(porcelain.load(experiment))
    if output == "json":
        print(presentation.to_json(summary))
    else:
        print(format_summary(summary))


def platform_check(
    settings: str | None = None, /, *, deploy: str | None = None
) -> None:
    """Check a process's settings file and the deploy file; tell all findings.

    Parameters
    ----------
    settings
        The settings file that the platform has written for a process.
    deploy
        The deploy file.
    """
    findings = porcelain.platform_check(settings, deploy)
    for finding in findings:
        print(finding)
    if findings:
        raise SystemExit(1)
    print("no findings")


def add_tools(app: cyclopts.App) -> None:
    """Add the commands to the command line."""
    app.command(explain)
    app.command(load)
    platform = cyclopts.App(name="platform", help="The users' platform.")
    platform.command(platform_check, name="check")
    app.command(platform)
