"""Arrivals of the overload bench, drawn from a seed or read from a recorded trace."""

from __future__ import annotations

import csv
import pathlib
import random
from collections.abc import Iterable, Sequence

import attrs

__all__ = ["CLASSES", "Arrival", "RequestClass", "draw_arrivals", "read_trace"]

# Organisations and sessions are drawn with a skew to low numbers.
ORGANISATIONS = 10
SESSIONS = 40


@attrs.frozen
class RequestClass:
    """One class of generations of the users' workload.

    Attributes:
      name: its name.
      share: its fraction of the arrivals.
      prompt_tokens: mean length of the prompt.
      output_tokens: mean length of the output.
      output_spread: sigma of the logarithm of the output length.
      target_latency_s: time to the first event up to which a response is on time.
      deadline_s: how long callers wait.
      priority: 0 is the most urgent.
      worth: value of a response on time.
      late_worth: value of a late response.
    """

    name: str
    share: float
    prompt_tokens: int
    output_tokens: int
    output_spread: float
    target_latency_s: float
    deadline_s: float
    priority: int
    worth: float
    late_worth: float


CLASSES = (
    RequestClass("plan", 0.42, 3_000, 930, 0.84, 1.8, 39.0, 1, 200.0, 30.0),
    RequestClass("check", 0.58, 2_200, 11, 0.89, 1.5, 6.0, 0, 21.0, 3.1),
)


@attrs.frozen
class Arrival:
    """A caller's request.

    Attributes:
      time_s: its first arrival, from the start.
      kind: name of its class.
      prompt_tokens: length of the prompt.
      output_tokens: length of the output; hidden from the policies.
      hint_tokens: the caller's estimate of the output length.
      session: name of the caller's session.
      organisation: name of the caller's organisation.
    """

    time_s: float
    kind: str
    prompt_tokens: int
    output_tokens: int
    hint_tokens: int
    session: str
    organisation: str


def find_class(name: str) -> RequestClass:
    """Return a class by its name."""
    return next(found for found in CLASSES if found.name == name)


def draw_arrivals(seed: int, rate_per_s: float, duration_s: float) -> list[Arrival]:
    """Return Poisson arrivals whose rate alternates every 5 s: 30 % below, then above.

    Args:
      seed: seed of all draws.
      rate_per_s: the mean rate.
      duration_s: length of the period.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    now_s = 0.0
    while True:
        wave = 1.0 + 0.3 * (1 if int(now_s / 5.0) % 2 else -1)
        now_s += rng.expovariate(rate_per_s * wave)
        if now_s >= duration_s:
            return arrivals
        arrivals.append(_draw(rng, now_s))


def _draw(rng: random.Random, now_s: float) -> Arrival:
    kind = rng.choices(CLASSES, [c.share for c in CLASSES])[0]
    output = _draw_length(rng, kind.output_tokens, kind.output_spread, 2_400)
    number = min(rng.randrange(SESSIONS), rng.randrange(SESSIONS))
    organisation = min(rng.randrange(ORGANISATIONS), rng.randrange(ORGANISATIONS))
    return Arrival(
        time_s=round(now_s, 3),
        kind=kind.name,
        prompt_tokens=_draw_length(rng, kind.prompt_tokens, 0.35, 6_000),
        output_tokens=output,
        hint_tokens=_draw_length(rng, output, 0.6, 2_400),
        session=f"{kind.name}-{number}",
        organisation=f"o{organisation}",
    )


def _draw_length(rng: random.Random, mean: int, sigma: float, maximum: int) -> int:
    """Return a log-normal length with this mean, cut at a maximum."""
    value = rng.lognormvariate(0.0, sigma) / 2.718281828 ** (sigma * sigma / 2)
    return max(1, min(maximum, int(mean * value)))


def read_trace(path: pathlib.Path) -> list[Arrival]:
    """Return the arrivals of a file written by `write_trace`."""
    with path.open(newline="") as file:
        return [
            Arrival(
                time_s=float(row["time_s"]),
                kind=row["kind"],
                prompt_tokens=int(row["prompt_tokens"]),
                output_tokens=int(row["output_tokens"]),
                hint_tokens=int(row["hint_tokens"]),
                session=row["session"],
                organisation=row["organisation"],
            )
            for row in csv.DictReader(file)
        ]


def write_trace(path: pathlib.Path, arrivals: Iterable[Arrival]) -> None:
    """Write arrivals to a CSV file, one row each, with a header."""
    rows: Sequence[dict[str, object]] = [attrs.asdict(item) for item in arrivals]
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, [field.name for field in attrs.fields(Arrival)])
        writer.writeheader()
        writer.writerows(rows)
