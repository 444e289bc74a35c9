"""The load generator: sends the requests of an experiment to a running system."""

from endivesill.load.plan import Experiment, parse_experiment, read_experiment
from endivesill.load.record import (
    RequestRecord,
    Summary,
    format_summary,
    summarize,
)
from endivesill.load.runner import LoadRunner

__all__ = [
    "Experiment",
    "LoadRunner",
    "RequestRecord",
    "Summary",
    "format_summary",
    "parse_experiment",
    "read_experiment",
    "summarize",
]
