"""Benchmark of the entry's tables: organisations, generation ids and the ledger."""

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

ORGANISATION_COUNTS = (10, 1000, 19_000)
TARGET_COUNT = 2400
KEY_COUNTS = (1000, 10_000, 100_000)
CALL_COUNT = 20_000
RESPONSE_BYTES = 500
MAX_RESPONSES_BYTES = 33_554_432
MAX_LOOKUP_US = 20.0


def mean_call_us(call: Callable[[int], object], calls: int) -> float:
    """Return the mean time of a call in microseconds; `call` gets the call number."""
    started_s = time.perf_counter()
    for number in range(calls):
        call(number)
    return 1e6 * (time.perf_counter() - started_s) / calls


def make_configuration(organisations: int) -> Configuration:
    """Return a configuration with `organisations` organisations and all targets."""
    organisation_items = (
        Organisation(f"o{n}", key_sha256=hash_key(f"key-{n}"))
        for n in range(organisations)
    )
    targets = (
        Target(f"t{n}", service="s", url=f"http://10.0.0.1:{n}", data_centre="a")
        for n in range(TARGET_COUNT)
    )
    return Configuration(
        organisations={item.name: item for item in organisation_items},
        targets={item.name: item for item in targets},
    )


def measure_index(report: Report) -> None:
    """Measure authentication and index construction by number of organisations."""
    lookup_points, build_points = [], []
    for size in ORGANISATION_COUNTS:
        build_us, lookup_us = measure_index_times(size)
        build_points.append((float(size), build_us / 1000))
        lookup_points.append((float(size), lookup_us))
    report.slope("authentication", "organisations", "us", lookup_points)
    report.slope("index of a revision", "organisations", "ms", build_points)
    name = f"authentication at {ORGANISATION_COUNTS[-1]} organisations"
    found_us = lookup_points[-1][1]
    target = f"under {MAX_LOOKUP_US} us"
    report.add(name, found_us, "us", target, found_us < MAX_LOOKUP_US)


def measure_index_times(size: int) -> tuple[float, float]:
    """Return the times in microseconds to build an index and authenticate a caller."""
    configuration = make_configuration(size)
    index = ConfigurationIndex(configuration)
    keys = [f"Bearer key-{number % size}" for number in range(CALL_COUNT)]
    build_us = mean_call_us(lambda _: ConfigurationIndex(configuration), 5)
    return build_us, mean_call_us(lambda n: index.authenticate(keys[n]), CALL_COUNT)


def measure_ids(report: Report) -> None:
    """Measure the time to make and to check a generation id."""
    ids = GenerationIds(KeyRing(["a-peer-key-for-the-bench"]))
    generation_ids = [ids.make("t1", "o1") for _ in range(CALL_COUNT)]
    report.add(
        "generation id made",
        mean_call_us(lambda n: ids.make("t1", "o1"), CALL_COUNT),
        "us",
    )
    report.add(
        "generation id checked",
        mean_call_us(lambda n: ids.check(generation_ids[n], "o1"), CALL_COUNT),
        "us",
    )


def measure_ledger(report: Report) -> None:
    """Measure the ledger by number of retained keys."""
    time_points, size_points = [], []
    for retained_keys in KEY_COUNTS:
        claim_us, size_bytes = measure_ledger_cost(retained_keys)
        time_points.append((float(retained_keys), claim_us))
        size_points.append((float(retained_keys), size_bytes / 1e6))
    report.slope("claim and finish in the state", "keys kept", "us", time_points)
    report.slope("ledger in a snapshot", "keys kept", "MB", size_points)
    report.add("claims a second of one core", 1e6 / time_points[-1][1], "claims/s")


def measure_ledger_cost(retained_keys: int) -> tuple[float, int]:
    """Return the microseconds to claim and finish a key, and the state's JSON bytes."""
    state = State()
    for number in range(retained_keys):
        claim_and_finish(state, number, retained_keys)
    claim_us = mean_call_us(
        lambda n: claim_and_finish(state, retained_keys + n, retained_keys), CALL_COUNT
    )
    return claim_us, len(json.dumps(state.sections))


def claim_and_finish(state: State, number: int, retained_keys: int) -> None:
    """Run the claim and finish commands of one key."""
    ledger_id = make_ledger_id("o", "s", str(number))
    message = {"shard": shard_of(ledger_id, 1), "id": ledger_id, "attempt": "a"}
    claim = {
        **message,
        "digest": "d" * 64,
        "owner": "vm-1",
        "duration_s": 60.0,
        "age_s": 86_400.0,
        "entries": retained_keys,
    }
    context = CommandContext(number, float(number))
    run_command(state, "ledger.claim", claim, context)
    response = {"status": 200, "headers": [], "body": "x" * RESPONSE_BYTES}
    finish = {**message, "result": "done", "answer": response}
    finish["answers_bytes"] = MAX_RESPONSES_BYTES
    run_command(state, "ledger.finish", finish, context)


def main() -> None:
    """Run the benchmark and print the report."""
    report = Report("entry_tables")
    measure_index(report)
    measure_ids(report)
    measure_ledger(report)
    report.print()


if __name__ == "__main__":
    cyclopts.run(main)
