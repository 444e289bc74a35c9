"""Demo of a small fleet on loopback, with one check for each promise.

Starts three daemons, two stand-in engines and one plain service, prints a line for
each check, and exits with 0 only if every check held.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import attrs

from bench.fleet import CALLER_KEY, Fleet, FleetPlan

__all__ = ["main"]

RUN_FOLDER = pathlib.Path("run/demo")
TOKENS = 40
GENERATIONS = 12
TAKE_OUT_WAIT_S = 3.0
RETURN_TIMEOUT_S = 15.0
RETURN_STREAMS = 6
PLANNED_STOP_TIMEOUT_S = 20.0
TIMEOUT_S = 60.0


@attrs.frozen
class Check:
    """Result of one check, a line of the printed table.

    Attributes:
      promise: the promise that was checked.
      observed: what was observed, or the error that ended the check.
      holds: whether the promise held.
    """

    promise: str
    observed: str
    holds: bool


class Caller:
    """A caller of the entries of a fleet.

    Args:
      fleet: the fleet to call.
      session: the HTTP client.

    Attributes:
      headers: the headers of every request.
    """

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self._fleet = fleet
        self._session = session
        self.headers = {"Authorization": f"Bearer {CALLER_KEY}"}

    async def generate(self, vm: str, tokens: int = TOKENS) -> list[str]:
        """Stream a generation; return the event ids in order."""
        return [event async for event in self.events(vm, tokens)]

    async def events(
        self, vm: str, tokens: int, last_event_id: str = ""
    ) -> AsyncIterator[str]:
        """Stream a generation; yield its event ids as they arrive.

        Args:
          vm: the entry to call.
          tokens: number of tokens to request.
          last_event_id: resume after this event; empty for a new generation.

        Raises:
          RuntimeError: the status of the response is not 200.
        """
        document = {
            "model": "plan-llm",
            "prompt": "plan the week",
            "stream": True,
            "max_tokens": tokens,
        }
        headers = dict(self.headers)
        if last_event_id:
            headers["Last-Event-ID"] = last_event_id
        url = f"http://{self._fleet.caller_addresses[vm]}/v1/completions"
        async with self._session.post(url, json=document, headers=headers) as response:
            if response.status != 200:
                raise RuntimeError(f"{vm} responded with status {response.status}")
            async for line in response.content:
                if line.startswith(b"id: "):
                    yield line[4:].strip().decode()

    async def book(self, vm: str, key: str) -> tuple[int, str]:
        """Send a booking; return the status and body of the response."""
        url = f"http://{self._fleet.caller_addresses[vm]}/stable/bookings"
        headers = {**self.headers, "Idempotency-Key": key}
        async with self._session.post(url, data=key, headers=headers) as response:
            return response.status, await response.text()


def indexes(event_ids: list[str]) -> list[int]:
    """Return the token indexes of event ids."""
    return [int(event_id.rpartition(":")[2]) for event_id in event_ids]


async def check_streams(fleet: Fleet, caller: Caller) -> Check:
    """Stream through every entry and check each token."""
    streams = await asyncio.gather(
        *(
            caller.generate(fleet.vm_names[number % len(fleet.vm_names)])
            for number in range(GENERATIONS)
        )
    )
    complete = sum(indexes(stream) == list(range(TOKENS)) for stream in streams)
    observed = f"{complete} of {GENERATIONS} generations whole, {TOKENS} tokens each"
    return Check("each token once, in order", observed, complete == GENERATIONS)


async def check_booking(fleet: Fleet, caller: Caller) -> Check:
    """Send one booking twice with the same idempotency key, through two entries."""
    first = await caller.book("vm-1", "booking-1")
    second = await caller.book("vm-2", "booking-1")
    bookings = [
        call for call in await fleet.fetch_runs("app-1") if call["method"] == "POST"
    ]
    holds = first[0] == 200 and first == second and len(bookings) == 1
    observed = f"sent twice, ran {len(bookings)} time, same answer: {first == second}"
    return Check("a booking runs at most once", observed, holds)


async def count_starts(fleet: Fleet, engine: str) -> int:
    """Return how many generations an engine has started."""
    return sum((await fleet.fetch_runs(engine)).values())


async def check_data_centre(fleet: Fleet, caller: Caller) -> Check:
    """Take a data centre out, check that it gets no new work, and put it back."""
    taken_out = fleet.data_centre(0)
    await fleet.run_command("data-centre", "take-out", taken_out)
    await asyncio.sleep(TAKE_OUT_WAIT_S)
    before = await count_starts(fleet, "engine-1")
    for name in fleet.vm_names:
        await caller.generate(name, 5)
    during = await count_starts(fleet, "engine-1") - before
    await fleet.run_command("data-centre", "put-back", taken_out)
    returned = await wait_until_used(fleet, caller, "engine-1")
    observed = f"{during} new requests while out; used again after return: {returned}"
    return Check(
        "a data centre out gets no new work", observed, during == 0 and returned
    )


async def wait_until_used(fleet: Fleet, caller: Caller, engine: str) -> bool:
    """Send generations until an engine gets one; return False on timeout."""
    before = await count_starts(fleet, engine)
    loop = asyncio.get_running_loop()
    end_s = loop.time() + RETURN_TIMEOUT_S
    while loop.time() < end_s:
        names = fleet.vm_names * RETURN_STREAMS
        await asyncio.gather(*(caller.generate(name, 10) for name in names))
        if await count_starts(fleet, engine) > before:
            return True
    return False


async def check_planned_stop(fleet: Fleet, caller: Caller) -> Check:
    """Stop a daemon with SIGTERM while it streams; the stream must complete."""
    tokens = 100
    stream = asyncio.ensure_future(caller.generate("vm-3", tokens))
    await asyncio.sleep(0.5)
    fleet.processes["vm-3"].send_signal(signal.SIGTERM)
    event_ids = await stream
    exit_code = await fleet.processes["vm-3"].wait_stopped(PLANNED_STOP_TIMEOUT_S)
    complete = indexes(event_ids) == list(range(tokens))
    observed = f"stream whole: {complete}, daemon's exit code {exit_code}"
    return Check(
        "a planned stop cuts no request", observed, complete and exit_code == 0
    )


async def check_killed_entry(fleet: Fleet, caller: Caller) -> Check:
    """Kill a daemon in mid-stream and resume the stream at another entry."""
    fleet.processes["vm-3"].start()
    await fleet.wait_until_ready("vm-3")
    tokens = 100
    event_ids: list[str] = []
    try:
        async for event_id in caller.events("vm-3", tokens):
            event_ids.append(event_id)
            if len(event_ids) == 20:
                fleet.processes["vm-3"].kill()
    except (aiohttp.ClientError, OSError):
        pass
    first_part = len(event_ids)
    async for event_id in caller.events("vm-1", tokens, event_ids[-1]):
        event_ids.append(event_id)
    generations = {event_id.rpartition(":")[0] for event_id in event_ids}
    complete = indexes(event_ids) == list(range(tokens)) and len(generations) == 1
    observed = (
        f"{first_part} tokens, then {len(event_ids) - first_part} by another entry"
    )
    return Check("the whole answer after an entry's death", observed, complete)


async def check_configuration(fleet: Fleet, caller: Caller) -> Check:
    """Apply a change after a daemon was killed, and apply it again: one revision."""
    extra = fleet.operator_folder / "40-more.ini"
    extra.write_text("[service plan-llm]\ngap_target_ms = 60\n", encoding="utf-8")
    folder = str(fleet.operator_folder)
    first = await fleet.run_command("config", "apply", folder, "--number", "2")
    again = await fleet.run_command("config", "apply", folder, "--number", "2")
    same = first["revision"] == again["revision"]
    observed = f"revision {first['revision']}, resent: the same answer: {same}"
    return Check("an accepted configuration is in force", observed, same)


async def check_refusal(fleet: Fleet, caller: Caller) -> Check:
    """Call an unknown model; no engine may start a generation."""
    before = [await count_starts(fleet, engine) for engine in fleet.engines]
    url = f"http://{fleet.caller_addresses['vm-1']}/v1/completions"
    body = {"model": "nothing", "prompt": "x"}
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=body, headers=caller.headers) as response,
    ):
        document = await response.json(content_type=None)
    after = [await count_starts(fleet, engine) for engine in fleet.engines]
    holds = document["run"] == "not-run" and before == after
    started = sum(after) - sum(before)
    engines = "untouched" if before == after else f"started {started}"
    observed = f"status {response.status}, run {document['run']}, engines {engines}"
    return Check("a refusal that says not-run is true", observed, holds)


CHECKS: tuple[Callable[[Fleet, Caller], Awaitable[Check]], ...] = (
    check_streams,
    check_booking,
    check_refusal,
    check_data_centre,
    check_planned_stop,
    check_killed_entry,
    check_configuration,
)


async def run_checks(fleet: Fleet) -> list[Check]:
    """Run all checks in order; a check that raises an error does not hold."""
    results: list[Check] = []
    async with aiohttp.ClientSession() as session:
        caller = Caller(fleet, session)
        for check in CHECKS:
            try:
                results.append(await check(fleet, caller))
            except (RuntimeError, aiohttp.ClientError, OSError, KeyError) as error:
                text = f"{type(error).__name__}: {error}"
                results.append(Check(check.__name__, text, False))
    return results


async def demo() -> int:
    """Run the demo and print its table; return the exit code."""
    fleet = Fleet(FleetPlan(), RUN_FOLDER)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await fleet.start()
            checks = await run_checks(fleet)
    finally:
        fleet.stop()
    for check in checks:
        verdict = "held" if check.holds else "FAILED"
        print(f"{check.promise:<42} {verdict:<7} {check.observed}")
    return 0 if all(check.holds for check in checks) else 1


def main() -> None:
    """Run the demo and exit with its code."""
    sys.exit(asyncio.run(demo()))


if __name__ == "__main__":
    main()
