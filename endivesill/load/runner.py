"""The client of the load generator, an open loop.

Requests are sent at the times of the arrival process, however slowly the system
responds, and latencies count from the scheduled send times. A backlog is thus part
of the latency.
"""

from __future__ import annotations

import asyncio
import json
import random

import aiohttp
import attrs

from endivesill.load.plan import (
    ARRIVAL_PROCESSES,
    LENGTH_DISTRIBUTIONS,
    Experiment,
    LoadOrganisation,
    LoadStream,
)
from endivesill.load.record import RequestRecord
from endivesill.timer import TimerService

__all__ = ["LoadRunner"]

MAX_ATTEMPTS = 20
RECONNECT_DELAY_S = 0.25
CONNECT_TIMEOUT_S = 2.0
HEALTH_TIMEOUT_S = 0.5
PROMPT_WORD = "oats "


@attrs.frozen
class Arrival:
    """A scheduled request.

    Attributes:
      number: its position in the arrival sequence, from 0.
      at_s: the send time, relative to the start of the experiment.
      stream: the kind of request.
      organisation: the organisation that sends it.
      prompt_tokens: length of the prompt.
      output_tokens: requested length of the output.
      address_index: index of the entry that is tried first.
    """

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
      experiment: the requests to send.
      timer: the timer service.

    Attributes:
      records: one for each request sent.
      unsent: number of arrivals beyond the limit of concurrent requests.
    """

    def __init__(self, experiment: Experiment, timer: TimerService) -> None:
        self._experiment = experiment
        self._timer = timer
        self._tasks: set[asyncio.Task[None]] = set()
        self._ready = list(experiment.settings.addresses)
        self.records: list[RequestRecord] = []
        self.unsent = 0

    def arrivals(self) -> list[Arrival]:
        """Return all arrivals; the same seed gives the same arrivals."""
        experiment = self._experiment
        settings = experiment.settings
        rng = random.Random(settings.seed)
        gap_s = ARRIVAL_PROCESSES[settings.arrivals]
        arrivals: list[Arrival] = []
        at_s = gap_s(rng, settings.rate_per_s)
        while at_s < settings.duration_s:
            arrivals.append(self._draw_arrival(rng, len(arrivals), at_s))
            at_s += gap_s(rng, settings.rate_per_s)
        return arrivals

    def _draw_arrival(self, rng: random.Random, number: int, at_s: float) -> Arrival:
        experiment = self._experiment
        stream = rng.choices(
            experiment.streams,
            [s.share for s in experiment.streams],
        )[0]
        organisation = rng.choices(
            experiment.organisations, [o.share for o in experiment.organisations]
        )[0]
        length = LENGTH_DISTRIBUTIONS[stream.length]
        output_tokens = max(1, int(length(rng, stream.output_tokens)))
        return Arrival(
            number,
            at_s,
            stream,
            organisation,
            max(1, int(length(rng, stream.prompt_tokens))),
            min(output_tokens, stream.maximum_output_tokens),
            rng.randrange(len(experiment.settings.addresses)),
        )

    async def run(self) -> list[RequestRecord]:
        """Send all requests and wait up to the drain time for the responses."""
        settings = self._experiment.settings
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        start_s = self._timer.now_s()
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            if settings.health_period_s:
                readiness_task = asyncio.ensure_future(self._poll_readiness(session))
            else:
                readiness_task = None
            for arrival in self.arrivals():
                wait_s = start_s + arrival.at_s - self._timer.now_s()
                if wait_s > 0:
                    await self._timer.sleep(wait_s)
                self._start_request(session, arrival, start_s + arrival.at_s)
            if self._tasks:
                await asyncio.wait(self._tasks, timeout=settings.drain_s)
            if readiness_task is not None:
                readiness_task.cancel()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
        return self.records

    def _start_request(
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
        task = asyncio.ensure_future(self._run_request(session, arrival, record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_request(
        self, session: aiohttp.ClientSession, arrival: Arrival, record: RequestRecord
    ) -> None:
        try:
            if arrival.stream.kind == "plain":
                await self._send_plain_call(session, arrival, record)
            else:
                await self._send_generation(session, arrival, record)
        except asyncio.CancelledError:
            record.reason = "no end within the drain time"
            raise
        finally:
            record.end_s = self._timer.now_s()

    async def _poll_readiness(self, session: aiohttp.ClientSession) -> None:
        """Poll the readiness of the entries, as the platform's load balancer does."""
        settings = self._experiment.settings
        while True:
            readiness = await asyncio.gather(
                *(self._is_ready(session, address) for address in settings.addresses)
            )
            pairs = zip(settings.addresses, readiness, strict=True)
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

    def _address_for(self, arrival: Arrival, attempt: int) -> str:
        addresses = self._ready or self._experiment.settings.addresses
        return addresses[(arrival.address_index + attempt) % len(addresses)]

    def _tag(self, arrival: Arrival) -> str:
        """Return the tag that identifies the request to the target."""
        seed = self._experiment.settings.seed
        return f"{arrival.stream.name}-{seed}-{arrival.number}"

    async def _send_plain_call(
        self, session: aiohttp.ClientSession, arrival: Arrival, record: RequestRecord
    ) -> None:
        stream = arrival.stream
        headers = {"Authorization": f"Bearer {arrival.organisation.key}"}
        body = self._tag(arrival)
        if stream.idempotency:
            record.key = body
            headers["Idempotency-Key"] = body
        for attempt in range(MAX_ATTEMPTS if stream.idempotency else 1):
            address = self._address_for(arrival, attempt)
            try:
                async with session.request(
                    stream.method,
                    f"http://{address}{stream.path}",
                    data=body,
                    headers=headers,
                ) as response:
                    await self._record_response(response, record)
                    return
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                self._record_break(record, address, error)
                record.resumes += 1
                await self._timer.sleep(RECONNECT_DELAY_S)

    async def _record_response(
        self, response: aiohttp.ClientResponse, record: RequestRecord
    ) -> None:
        body = await response.read()
        record.status = response.status
        record.first_s = self._timer.now_s()
        record.complete = response.status < 400
        if not record.complete:
            self._record_problem(body, record)

    @staticmethod
    def _record_problem(body: bytes, record: RequestRecord) -> None:
        try:
            document = json.loads(body)
        except ValueError:
            document = {}
        record.reason = str(document.get("title", "no problem document"))
        record.run = str(document.get("run", ""))

    async def _send_generation(
        self, session: aiohttp.ClientSession, arrival: Arrival, record: RequestRecord
    ) -> None:
        headers = {"Authorization": f"Bearer {arrival.organisation.key}"}
        document = {
            "model": arrival.stream.model,
            "prompt": PROMPT_WORD * arrival.prompt_tokens,
            "stream": True,
            "max_tokens": arrival.output_tokens,
            "user": self._tag(arrival),
        }
        body = json.dumps(document)
        for attempt in range(MAX_ATTEMPTS):
            address = self._address_for(arrival, attempt)
            url = f"http://{address}/v1/completions"
            if record.generation:
                last_index = record.tokens - 1
                headers["Last-Event-ID"] = f"{record.generation}:{last_index}"
            try:
                async with session.post(url, data=body, headers=headers) as response:
                    if response.status >= 400:
                        record.status = response.status
                        self._record_problem(await response.read(), record)
                        return
                    record.status = response.status
                    await self._read_events(response, record)
                    return
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                self._record_break(record, address, error)
                if not record.generation and not self._is_connect_error(error):
                    # Without a generation id the caller cannot resume, and a resend
                    # could run the generation twice.
                    return
                record.resumes += 1
                await self._timer.sleep(RECONNECT_DELAY_S)

    def _record_break(
        self, record: RequestRecord, address: str, error: Exception
    ) -> None:
        record.reason = type(error).__name__
        if not self._is_connect_error(error):
            record.breaks.append((address, self._timer.now_s()))

    @staticmethod
    def _is_connect_error(error: Exception) -> bool:
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
                if self._record_event(event, record):
                    return

    @staticmethod
    def _record_event(event: bytes, record: RequestRecord) -> bool:
        """Record one event; return whether it ends the stream."""
        if event == b"data: [DONE]":
            record.complete = True
            return True
        if event.startswith(b"event: error"):
            LoadRunner._record_problem(event.partition(b"data: ")[2], record)
            record.status = 599
            return True
        line = event.split(b"\n", 1)[0]
        generation, _, index = line.removeprefix(b"id: ").decode().rpartition(":")
        record.generation = record.generation or generation
        if generation != record.generation or int(index) != record.tokens:
            record.disorder += 1
        record.tokens += 1
        return False
