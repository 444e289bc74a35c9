"""endivesill: the operators' command-line tool, a thin layer over porcelain."""

from __future__ import annotations

import sys

import cyclopts

from endivesill import __version__, errors, porcelain

__all__ = ["main"]

EXIT_ERROR = 1
EXIT_FINDINGS = 2

app = cyclopts.App(
    name="endivesill", help="Operate an endivesill fleet.", version=__version__
)
config = cyclopts.App(name="config", help="The operators' configuration.")
app.command(config)


@config.command(name="check")
def config_check(folder: str, /) -> None:
    """Check an operators' folder without applying it.

    Parameters
    ----------
    folder
        The folder of INI files.
    """
    checked = porcelain.config_check(folder)
    print(f"{len(checked.documents)} items, no findings")


def main() -> None:
    """Run the command line; errors go to stderr with a documented exit code."""
    try:
        app()
    except errors.FindingsError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_FINDINGS) from None
    except errors.EndivesillError as error:
        print(f"endivesill: {error}", file=sys.stderr)
        raise SystemExit(EXIT_ERROR) from None
