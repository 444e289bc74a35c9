"""Cost of the entry's tables: organisations, generation ids and the ledger."""

from __future__ import annotations

import json
import time
from collections.abc import Callable

import cyclopts

from bench.report import Report
from endivesill.configuration.model import Configuration, Organisation, Target
from endivesill.control import CommandContext, State
from endivesill.control.commands import run_command
from endivesill.entry.identity import GenerationIds
from endivesill.entry.index import ConfigurationIndex
from endivesill.entry.ledger import make_ledger_id, shard_of
from endivesill.keys import KeyRing, hash_key

__all__ = ["main"]

ORGANISATIONS = (10, 1000, 19_000)
TARGETS = 2400
KEYS = (1000, 10_000, 100_000)
CALLS = 20_000
CLAIM_BYTES_ANSWER = 500
ANSWERS_BYTES = 33_554_432
MOST_LOOKUP_US = 20.0


def microseconds(work: Callable[[int], object], calls: int) -> float:
    """Return the mean time of a call."""
    begin_s = time.perf_counter()
    for number in range(calls):
        work(number)
    return 1e6 * (time.perf_counter() - begin_s) / calls


def configuration(organisations: int) -> Configuration:
    """Return a configuration of a size."""
    named = (
        Organisation(f"o{n}", key_sha256=hash_key(f"key-{n}"))
        for n in range(organisations)
    )
    targets = (
        Target(f"t{n}", service="s", url=f"http://10.0.0.1:{n}", data_centre="a")
        for n in range(TARGETS)
    )
    return Configuration(
        organisations={item.name: item for item in named},
        targets={item.name: item for item in targets},
    )


def measure_index(report: Report) -> None:
    """Measure how organisations are found, over their number."""
    lookups, builds = [], []
    for size in ORGANISATIONS:
        build_us, lookup_us = index_times(size)
        builds.append((float(size), build_us / 1000))
        lookups.append((float(size), lookup_us))
    report.slope("authentication", "organisations", "us", lookups)
    report.slope("index of a revision", "organisations", "ms", builds)
    name = f"authentication at {ORGANISATIONS[-1]} organisations"
    found_us = lookups[-1][1]
    target = f"under {MOST_LOOKUP_US} us"
    report.add(name, found_us, "us", target, found_us < MOST_LOOKUP_US)


def index_times(size: int) -> tuple[float, float]:
    """Return the times to build an index and to authenticate a caller."""
    whole = configuration(size)
    index = ConfigurationIndex(whole)
    keys = [f"Bearer key-{number % size}" for number in range(CALLS)]
    build_us = microseconds(lambda _: ConfigurationIndex(whole), 5)
    return build_us, microseconds(lambda n: index.authenticate(keys[n]), CALLS)


def measure_ids(report: Report) -> None:
    """Measure how generation ids are made and checked."""
    ids = GenerationIds(KeyRing(["a-peer-key-for-the-bench"]))
    made = [ids.make("t1", "o1") for _ in range(CALLS)]
    report.add(
        "generation id made", microseconds(lambda n: ids.make("t1", "o1"), CALLS), "us"
    )
    report.add(
        "generation id checked",
        microseconds(lambda n: ids.check(made[n], "o1"), CALLS),
        "us",
    )


def measure_ledger(report: Report) -> None:
    """Measure claim and finish, over the number of keys kept."""
    times, sizes = [], []
    for kept in KEYS:
        claim_us, size_bytes = ledger_cost(kept)
        times.append((float(kept), claim_us))
        sizes.append((float(kept), size_bytes / 1e6))
    report.slope("claim and finish in the state", "keys kept", "us", times)
    report.slope("ledger in a snapshot", "keys kept", "MB", sizes)
    report.add("claims a second of one core", 1e6 / times[-1][1], "claims/s")


def ledger_cost(kept: int) -> tuple[float, int]:
    """Return the time of claim and finish, and the size, at a number of keys."""
    state = State()
    for number in range(kept):
        claim_and_finish(state, number, kept)
    claim_us = microseconds(lambda n: claim_and_finish(state, kept + n, kept), CALLS)
    return claim_us, len(json.dumps(state.sections))


def claim_and_finish(state: State, number: int, kept: int) -> None:
    """Apply the two commands of one key."""
    ledger_id = make_ledger_id("o", "s", str(number))
    message = {"shard": shard_of(ledger_id, 1), "id": ledger_id, "attempt": "a"}
    claim = {
        **message,
        "digest": "d" * 64,
        "owner": "vm-1",
        "duration_s": 60.0,
        "age_s": 86_400.0,
        "entries": kept,
    }
    context = CommandContext(number, float(number))
    run_command(state, "ledger.claim", claim, context)
    answer = {"status": 200, "headers": [], "body": "x" * CLAIM_BYTES_ANSWER}
    done = {**message, "result": "done", "answer": answer}
    done["answers_bytes"] = ANSWERS_BYTES
    run_command(state, "ledger.finish", done, context)


def main() -> None:
    """Print the figures of the entry's tables."""
    report = Report("entry_tables")
    measure_index(report)
    measure_ids(report)
    measure_ledger(report)
    report.print()


if __name__ == "__main__":
    cyclopts.run(main)
