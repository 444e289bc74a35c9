"""The load tool's client: an open loop, so that waiting counts.

Requests start at the times that the arrival process sets, whatever the system
does, and their times count from there.
"""

from __future__ import annotations

import asyncio
import json
import random

import aiohttp
import attrs

from endivesill.load.plan import (
    ARRIVALS,
    LENGTHS,
    Experiment,
    LoadOrganisation,
    LoadStream,
)
from endivesill.load.record import RequestRecord
from endivesill.timer import TimerService

__all__ = ["LoadRunner"]

MAXIMUM_RECONNECTS = 20
RECONNECT_DELAY_S = 0.25
CONNECT_TIMEOUT_S = 2.0
HEALTH_TIMEOUT_S = 0.5
WORD = "oats "


@attrs.frozen
class Arrival:
    """A request that is to be sent."""

    number: int
    at_s: float
    stream: LoadStream
    organisation: LoadOrganisation
    prompt_tokens: int
    output_tokens: int
    address_index: int


class LoadRunner:
    """Runs one experiment.

    Args:
      experiment: what to send.
      timer: the timer service.

    Attributes:
      records: one for each request sent.
      unsent: arrivals beyond the bound on running requests.
    """

    def __init__(self, experiment: Experiment, timer: TimerService) -> None:
        self._experiment = experiment
        self._timer = timer
        self._tasks: set[asyncio.Task[None]] = set()
        self._ready = list(experiment.settings.addresses)
        self.records: list[RequestRecord] = []
        self.unsent = 0

    def arrivals(self) -> list[Arrival]:
        """Return all arrivals; the seed fixes them."""
        experiment = self._experiment
        settings = experiment.settings
        source = random.Random(settings.seed)
        gap_s = ARRIVALS[settings.arrivals]
        arrivals: list[Arrival] = []
        at_s = gap_s(source, settings.rate_per_s)
        while at_s < settings.duration_s:
            arrivals.append(self._arrival(source, len(arrivals), at_s))
            at_s += gap_s(source, settings.rate_per_s)
        return arrivals

    def _arrival(self, source: random.Random, number: int, at_s: float) -> Arrival:
        experiment = self._experiment
        stream = source.choices(
            experiment.streams, [s.share for s in experiment.streams]
        )[0]
        organisation = source.choices(
            experiment.organisations, [o.share for o in experiment.organisations]
        )[0]
        length = LENGTHS[stream.length]
        output_tokens = max(1, int(length(source, stream.output_tokens)))
        return Arrival(
            number,
            at_s,
            stream,
            organisation,
            max(1, int(length(source, stream.prompt_tokens))),
            min(output_tokens, stream.maximum_output_tokens),
            source.randrange(len(experiment.settings.addresses)),
        )

    async def run(self) -> list[RequestRecord]:
        """Send everything and wait for the answers, for a bounded time."""
        settings = self._experiment.settings
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        start_s = self._timer.now_s()
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            if settings.health_period_s:
                looking = asyncio.ensure_future(self._look_for_ready(session))
            else:
                looking = None
            for arrival in self.arrivals():
                wait_s = start_s + arrival.at_s - self._timer.now_s()
                if wait_s > 0:
                    await self._timer.sleep(wait_s)
                self._start(session, arrival, start_s + arrival.at_s)
            if self._tasks:
                await asyncio.wait(self._tasks, timeout=settings.drain_s)
            if looking is not None:
                looking.cancel()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
        return self.records

    def _start(
        self, session: aiohttp.ClientSession, arrival: Arrival, scheduled_s: float
    ) -> None:
        if len(self._tasks) >= self._experiment.settings.maximum_running:
            self.unsent += 1
            return
        record = RequestRecord(
            arrival.number,
            arrival.stream.name,
            arrival.organisation.name,
            scheduled_s=scheduled_s,
        )
        self.records.append(record)
        task = asyncio.ensure_future(self._request(session, arrival, record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(
        self, session: aiohttp.ClientSession, arrival: Arrival, record: RequestRecord
    ) -> None:
        try:
            if arrival.stream.kind == "plain":
                await self._call(session, arrival, record)
            else:
                await self._generate(session, arrival, record)
        except asyncio.CancelledError:
            record.reason = "no end within the drain time"
            raise
        finally:
            record.end_s = self._timer.now_s()

    async def _look_for_ready(self, session: aiohttp.ClientSession) -> None:
        """Keep the ready entries, as the platform's balancer does."""
        settings = self._experiment.settings
        while True:
            answers = await asyncio.gather(
                *(self._is_ready(session, address) for address in settings.addresses)
            )
            pairs = zip(settings.addresses, answers, strict=True)
            self._ready = [address for address, ready in pairs if ready]
            await self._timer.sleep(settings.health_period_s)

    @staticmethod
    async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        try:
            url = f"http://{address}/health/ready"
            async with session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def _address(self, arrival: Arrival, attempt: int) -> str:
        addresses = self._ready or self._experiment.settings.addresses
        return addresses[(arrival.address_index + attempt) % len(addresses)]

    def _tag(self, arrival: Arrival) -> str:
        """Return the tag by which a target can tell the requests apart."""
        seed = self._experiment.settings.seed
        return f"{arrival.stream.name}-{seed}-{arrival.number}"

    async def _call(
        self, session: aiohttp.ClientSession, arrival: Arrival, record: RequestRecord
    ) -> None:
        stream = arrival.stream
        headers = {"Authorization": f"Bearer {arrival.organisation.key}"}
        body = self._tag(arrival)
        if stream.idempotency:
            record.key = body
            headers["Idempotency-Key"] = body
        for attempt in range(MAXIMUM_RECONNECTS if stream.idempotency else 1):
            address = self._address(arrival, attempt)
            try:
                async with session.request(
                    stream.method,
                    f"http://{address}{stream.path}",
                    data=body,
                    headers=headers,
                ) as response:
                    await self._take_answer(response, record)
                    return
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                self._take_break(record, address, error)
                record.resumes += 1
                await self._timer.sleep(RECONNECT_DELAY_S)

    async def _take_answer(
        self, response: aiohttp.ClientResponse, record: RequestRecord
    ) -> None:
        body = await response.read()
        record.status = response.status
        record.first_s = self._timer.now_s()
        record.complete = response.status < 400
        if not record.complete:
            self._take_problem(body, record)

    @staticmethod
    def _take_problem(body: bytes, record: RequestRecord) -> None:
        try:
            document = json.loads(body)
        except ValueError:
            document = {}
        record.reason = str(document.get("title", "no problem document"))
        record.run = str(document.get("run", ""))

    async def _generate(
        self, session: aiohttp.ClientSession, arrival: Arrival, record: RequestRecord
    ) -> None:
        headers = {"Authorization": f"Bearer {arrival.organisation.key}"}
        document = {
            "model": arrival.stream.model,
            "prompt": WORD * arrival.prompt_tokens,
            "stream": True,
            "max_tokens": arrival.output_tokens,
            "user": self._tag(arrival),
        }
        body = json.dumps(document)
        for attempt in range(MAXIMUM_RECONNECTS):
            address = self._address(arrival, attempt)
            url = f"http://{address}/v1/completions"
            if record.generation:
                last_index = record.tokens - 1
                headers["Last-Event-ID"] = f"{record.generation}:{last_index}"
            try:
                async with session.post(url, data=body, headers=headers) as response:
                    if response.status >= 400:
                        record.status = response.status
                        self._take_problem(await response.read(), record)
                        return
                    record.status = response.status
                    await self._read_events(response, record)
                    return
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                self._take_break(record, address, error)
                if not record.generation and not self._never_connected(error):
                    # Without an id the caller cannot tell whether it runs.
                    return
                record.resumes += 1
                await self._timer.sleep(RECONNECT_DELAY_S)

    def _take_break(
        self, record: RequestRecord, address: str, error: Exception
    ) -> None:
        record.reason = type(error).__name__
        if not self._never_connected(error):
            record.breaks.append((address, self._timer.now_s()))

    @staticmethod
    def _never_connected(error: Exception) -> bool:
        return isinstance(error, aiohttp.ClientConnectorError)

    async def _read_events(
        self, response: aiohttp.ClientResponse, record: RequestRecord
    ) -> None:
        last_s: float | None = None
        pending = b""
        while not record.complete:
            chunk = await response.content.readany()
            if not chunk:
                raise aiohttp.ClientPayloadError("the stream ended early")
            now_s = self._timer.now_s()
            if record.first_s is None:
                record.first_s = now_s
            if last_s is not None:
                record.gaps_s.append(now_s - last_s)
            last_s = now_s
            *events, pending = (pending + chunk).split(b"\n\n")
            for event in events:
                if self._take_event(event, record):
                    return

    @staticmethod
    def _take_event(event: bytes, record: RequestRecord) -> bool:
        """Take one event; return whether it is the last."""
        if event == b"data: [DONE]":
            record.complete = True
            return True
        if event.startswith(b"event: error"):
            LoadRunner._take_problem(event.partition(b"data: ")[2], record)
            record.status = 599
            return True
        line = event.split(b"\n", 1)[0]
        generation, _, index = line.removeprefix(b"id: ").decode().rpartition(":")
        record.generation = record.generation or generation
        if generation != record.generation or int(index) != record.tokens:
            record.disorder += 1
        record.tokens += 1
        return False
