"""Arrivals for the bench of worst load: drawn from a seed, or from a recorded trace."""

from __future__ import annotations

import csv
import pathlib
import random
from collections.abc import Iterable, Sequence

import attrs

__all__ = ["CLASSES", "Arrival", "RequestClass", "draw_arrivals", "read_trace"]

# Organisations; the first of them send most.
ORGANISATIONS = 10
# Sessions that a class's requests belong to.
SESSIONS = 40


@attrs.frozen
class RequestClass:
    """One kind of generation, as the users' sheets describe it.

    Attributes:
      name: its name.
      share: its share of the arrivals.
      prompt_tokens: mean length of the prompt.
      output_tokens: mean length of the output.
      output_spread: sigma of the logarithm of the output's length.
      target_latency_s: time to the first event that is on time.
      deadline_s: how long callers wait.
      priority: 0 is the most urgent.
      worth: what an answer on time is worth.
      late_worth: what a later answer is worth.
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
      time_s: when it arrives first, from the start.
      kind: name of its class.
      prompt_tokens: length of the prompt.
      output_tokens: length of the output; nobody knows it before.
      hint_tokens: the caller's estimate of it.
      session: names the caller's session.
      organisation: who sends it.
    """

    time_s: float
    kind: str
    prompt_tokens: int
    output_tokens: int
    hint_tokens: int
    session: str
    organisation: str


def class_named(name: str) -> RequestClass:
    """Return a class by its name."""
    return next(found for found in CLASSES if found.name == name)


def draw_arrivals(seed: int, per_s: float, duration_s: float) -> list[Arrival]:
    """Return arrivals at a mean rate, in clumps that a wave makes denser at times."""
    source = random.Random(seed)
    arrivals: list[Arrival] = []
    now_s = 0.0
    while True:
        wave = 1.0 + 0.3 * (1 if int(now_s / 5.0) % 2 else -1)
        now_s += source.expovariate(per_s * wave)
        if now_s >= duration_s:
            return arrivals
        arrivals.append(_draw(source, now_s))


def _draw(source: random.Random, now_s: float) -> Arrival:
    kind = source.choices(CLASSES, [c.share for c in CLASSES])[0]
    output = _spread(source, kind.output_tokens, kind.output_spread, 2_400)
    number = min(source.randrange(SESSIONS), source.randrange(SESSIONS))
    organisation = min(source.randrange(ORGANISATIONS), source.randrange(ORGANISATIONS))
    return Arrival(
        time_s=round(now_s, 3),
        kind=kind.name,
        prompt_tokens=_spread(source, kind.prompt_tokens, 0.35, 6_000),
        output_tokens=output,
        hint_tokens=_spread(source, output, 0.6, 2_400),
        session=f"{kind.name}-{number}",
        organisation=f"o{organisation}",
    )


def _spread(source: random.Random, mean: int, sigma: float, most: int) -> int:
    """Return a length with a long tail and this mean."""
    value = source.lognormvariate(0.0, sigma) / 2.718281828 ** (sigma * sigma / 2)
    return max(1, min(most, int(mean * value)))


def read_trace(path: pathlib.Path) -> list[Arrival]:
    """Return the arrivals of a file that `write_trace` has written."""
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
    """Record arrivals."""
    rows: Sequence[dict[str, object]] = [attrs.asdict(item) for item in arrivals]
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, [field.name for field in attrs.fields(Arrival)])
        writer.writeheader()
        writer.writerows(rows)
