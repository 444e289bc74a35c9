"""Experiments of the load generator, read from an INI file."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TypeVar

import attrs

from endivesill import errors, schema
from endivesill.findings import Finding
from endivesill.ini import IniSection, parse_ini, read_text

__all__ = [
    "ARRIVAL_PROCESSES",
    "LENGTH_DISTRIBUTIONS",
    "Experiment",
    "LoadOrganisation",
    "LoadSettings",
    "LoadStream",
    "parse_experiment",
    "read_experiment",
]

FunctionT = TypeVar("FunctionT", bound=Callable[..., float])

ARRIVAL_PROCESSES: dict[str, Callable[[random.Random, float], float]] = {}
LENGTH_DISTRIBUTIONS: dict[str, Callable[[random.Random, float], float]] = {}

LOGNORMAL_SIGMA = 1.0
PARETO_ALPHA = 1.5
BURST_SIZE = 10


def _registered(
    registry: dict[str, Callable[[random.Random, float], float]], name: str
) -> Callable[[FunctionT], FunctionT]:
    def register(function: FunctionT) -> FunctionT:
        registry[name] = function
        return function

    return register


@_registered(ARRIVAL_PROCESSES, "poisson")
def poisson_gap_s(rng: random.Random, rate_per_s: float) -> float:
    """Return the time to the next arrival of a Poisson process."""
    return rng.expovariate(rate_per_s)


@_registered(ARRIVAL_PROCESSES, "uniform")
def uniform_gap_s(rng: random.Random, rate_per_s: float) -> float:
    """Return the constant time between evenly spaced arrivals."""
    return 1.0 / rate_per_s


@_registered(ARRIVAL_PROCESSES, "burst")
def burst_gap_s(rng: random.Random, rate_per_s: float) -> float:
    """Return the time to the next arrival of a process with bursts.

    Bursts have a geometric size with mean `BURST_SIZE`; the mean rate is kept.
    """
    if rng.random() < 1.0 / BURST_SIZE:
        return rng.expovariate(rate_per_s / BURST_SIZE)
    return 0.0


@_registered(LENGTH_DISTRIBUTIONS, "fixed")
def fixed_length(rng: random.Random, mean: float) -> float:
    """Return a constant length."""
    return mean


@_registered(LENGTH_DISTRIBUTIONS, "exponential")
def exponential_length(rng: random.Random, mean: float) -> float:
    """Return an exponentially distributed length."""
    return rng.expovariate(1.0 / mean)


@_registered(LENGTH_DISTRIBUTIONS, "lognormal")
def lognormal_length(rng: random.Random, mean: float) -> float:
    """Return a log-normally distributed length with the given mean."""
    factor = rng.lognormvariate(-(LOGNORMAL_SIGMA**2) / 2, LOGNORMAL_SIGMA)
    return mean * factor


@_registered(LENGTH_DISTRIBUTIONS, "pareto")
def pareto_length(rng: random.Random, mean: float) -> float:
    """Return a Pareto-distributed (heavy-tailed) length with the given mean."""
    scale = mean * (PARETO_ALPHA - 1) / PARETO_ALPHA
    return scale * rng.paretovariate(PARETO_ALPHA)


@attrs.frozen
class LoadSettings:
    """The `[load]` section."""

    addresses: tuple[str, ...] = schema.field("HOST:PORT of entries' caller ports")
    duration_s: float = schema.field(
        "how long requests are sent", default=30.0, minimum=0.1, maximum=3600
    )
    drain_s: float = schema.field(
        "longest wait for the last responses", default=60.0, minimum=0, maximum=3600
    )
    rate_per_s: float = schema.field(
        "requests a second over all streams", minimum=0.01, maximum=100_000
    )
    arrivals: str = schema.field(
        "arrival process", default="poisson", choices=tuple(ARRIVAL_PROCESSES)
    )
    seed: int = schema.field("seed of all random choices", default=1, minimum=0)
    health_period_s: float = schema.field(
        "time between readiness checks of the entries, as a load balancer does "
        "them; 0 sends to all",
        default=0.0,
        minimum=0,
        maximum=60,
    )
    stall_threshold_ms: float = schema.field(
        "a gap between tokens beyond this counts as stall time",
        default=1000.0,
        minimum=1,
    )
    maximum_running: int = schema.field(
        "limit of concurrent requests; arrivals beyond it are counted as not sent",
        default=2000,
        minimum=1,
        maximum=20_000,
    )


@attrs.frozen
class LoadOrganisation:
    """An `[organisation NAME]` section: an organisation that sends requests."""

    name: str
    key: str = schema.field("the organisation's key")
    share: float = schema.field("share of the requests", default=1.0, minimum=0)


@attrs.frozen
class LoadStream:
    """A `[stream NAME]` section: one kind of request."""

    name: str
    kind: str = schema.field(
        "what is sent", default="generation", choices=("generation", "plain")
    )
    share: float = schema.field("share of the requests", default=1.0, minimum=0)
    model: str = schema.field("model of a generation", default="")
    path: str = schema.field("path of a plain call", default="")
    method: str = schema.field("method of a plain call", default="POST")
    idempotency: bool = schema.field(
        "a plain call carries an idempotency key", default=False
    )
    prompt_tokens: float = schema.field(
        "mean length of the prompts", default=200.0, minimum=1
    )
    output_tokens: float = schema.field(
        "mean length of the outputs", default=200.0, minimum=1
    )
    length: str = schema.field(
        "distribution of the lengths",
        default="lognormal",
        choices=tuple(LENGTH_DISTRIBUTIONS),
    )
    maximum_output_tokens: int = schema.field(
        "longest output that is requested", default=20_000, minimum=1
    )


@attrs.frozen
class Experiment:
    """All sections of one experiment file."""

    settings: LoadSettings
    organisations: tuple[LoadOrganisation, ...]
    streams: tuple[LoadStream, ...]


def read_experiment(path: str) -> Experiment:
    """Read an experiment file.

    Raises:
      FindingsError: with every finding, each with file and line.
    """
    return parse_experiment(read_text(path), path)


def parse_experiment(text: str, file: str) -> Experiment:
    """Parse the text of an experiment file.

    Raises:
      FindingsError: with every finding, each with file and line.
    """
    sections, findings = parse_ini(text, file)
    settings: LoadSettings | None = None
    organisations: list[LoadOrganisation] = []
    streams: list[LoadStream] = []
    for section in sections:
        kind, _, name = section.name.partition(" ")
        if kind == "load":
            settings, section_findings = schema.read_section(section, LoadSettings)
            findings.extend(section_findings)
        elif kind == "organisation":
            _collect(section, LoadOrganisation, name, organisations, findings)
        elif kind == "stream":
            _collect(section, LoadStream, name, streams, findings)
        else:
            text = f"unknown section [{section.name}]"
            findings.append(Finding(file, section.line, text))
    if not findings and not (settings and organisations and streams):
        text = "the sections [load], [organisation NAME] and [stream NAME] are required"
        findings.append(Finding(file, 0, text))
    if findings or settings is None:
        raise errors.FindingsError(sorted(findings))
    return Experiment(settings, tuple(organisations), tuple(streams))


def _collect(
    section: IniSection,
    kind: type,
    name: str,
    instances: list,
    findings: list[Finding],
) -> None:
    value, section_findings = schema.read_section(section, kind, {"name": name.strip()})
    findings.extend(section_findings)
    if value is not None:
        instances.append(value)
