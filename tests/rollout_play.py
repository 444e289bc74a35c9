"""Plays a roll-out in virtual time: the leader's code, entries, engines as functions.

No network and no processes: polls are function calls, and commands run on one state.
"""

from __future__ import annotations

import heapq
import itertools
import random
import types

from endivesill.control import CommandContext, State
from endivesill.control.commands import run_command
from endivesill.rollouts.entry import EntryRollouts
from endivesill.rollouts.leader import RolloutLeader
from endivesill.rollouts.model import ExposureBounds, VersionedEngine
from endivesill.rollouts.state import START, rollouts

SERVICE = "app"
STEP_S = 0.05
LEASE_S = 4.0
# When the new engines are listed, and when they are warm.
LISTED_S = 1.0
WARM_S = 3.0
BOUNDS = ExposureBounds(0.1, 50.0)


class Clock:
    """A timer that only tells the time."""

    def __init__(self):
        self.time_s = 0.0

    def now_s(self):
        return self.time_s


class FakeReplica:
    """A replica whose commands are committed at once."""

    def __init__(self, clock):
        self._clock = clock
        self._index = 0
        self.state = State()
        self.core = types.SimpleNamespace(cluster_time_s=clock.now_s)
        self.elect(1)

    def elect(self, term):
        self.core.leadership = types.SimpleNamespace(
            term=term, has_committed_in_term=lambda: True
        )

    async def propose(self, name, message, timeout_s):
        self._index += 1
        context = CommandContext(self._index, self._clock.now_s())
        return run_command(self.state, name, message, context)


class Entry:
    """An entry: its roll-outs and when it polls."""

    def __init__(self, play, name, next_poll_s):
        clock = play.clock
        self.name = name
        self.next_poll_s = next_poll_s
        self.lease_end_s = LEASE_S
        self.is_cut = False

        async def ask_leader(message):
            return None if self.is_cut else await play.leader.handle_offer(message)

        self.rollouts = EntryRollouts(
            clock, lambda: clock.time_s < self.lease_end_s, ask_leader, play.random
        )


def good(play, route, incarnation):
    """One failure in a hundred, times with a spread of a half."""
    latency_s = play.routes[route][1] * play.random.lognormvariate(0.0, 0.4)
    return play.random.random() < 0.01, latency_s


class Play:
    """One roll-out.

    Args:
      seed: seed of arrivals and outcomes.
      behaviour: returns whether a request to an engine fails, and its time in seconds.
      entries: number of entries.
      duration_s: time budget of the roll-out.
      routes: requests a second and median time by route.
      poll_s: interval of an entry's polls.

    Attributes:
      exposed: time and entry of each request to a new engine before the shift.
      requests: number of requests.
      left_on_old: requests on old engines when the roll-out was completed.
    """

    def __init__(
        self,
        seed,
        behaviour=good,
        entries=60,
        duration_s=12.0,
        routes=None,
        poll_s=0.25,
        engines=3,
    ):
        self.clock = Clock()
        self.random = random.Random(seed)
        self.behaviour = behaviour
        self.duration_s = duration_s
        self.routes = routes or {"write": (39.0, 0.08), "read": (27.0, 0.08)}
        self.replica = FakeReplica(self.clock)
        self.poll_s = poll_s
        self.entries = [
            Entry(self, f"e{n}", self.random.random() * poll_s) for n in range(entries)
        ]
        self.old = [f"old{n}" for n in range(engines)]
        self.new = [f"new{n}" for n in range(engines)]
        self.in_flight = dict.fromkeys(self.old + self.new, 0)
        self.sent = dict.fromkeys(self.old + self.new, 0)
        self.bad_times_s = []
        self.exposed = []
        self.requests = 0
        self.left_on_old = None
        self._running = []
        self._numbers = itertools.count()
        self._has_news = True
        self.lead(1)

    def lead(self, term):
        """Elect a new leader, which knows the replicated state only."""
        self.replica.elect(term)
        self.leader = RolloutLeader(
            self.clock,
            self.replica,
            BOUNDS,
            self._engines,
            self._note_news,
            self._confirm_leadership,
        )

    async def _confirm_leadership(self):
        return True

    def _note_news(self):
        self._has_news = True

    def _engines(self, service):
        now_s = self.clock.time_s
        listed = [(name, "v1") for name in self.old]
        if now_s >= LISTED_S:
            listed += [(name, "v2") for name in self.new]
        return [
            VersionedEngine(
                name,
                version,
                6,
                True,
                version == "v1" or now_s >= WARM_S,
                self.in_flight[name],
            )
            for name, version in listed
        ]

    @property
    def rollout(self):
        return rollouts(self.replica.state)[SERVICE]

    async def start(self):
        message = {
            "service": SERVICE,
            "version": "v2",
            "duration_s": self.duration_s,
        }
        await self.replica.propose(START, message, 1.0)

    async def run(self, until_s=None, on_step=lambda play: None):
        """Play until the roll-out has ended, or until a time."""
        if not rollouts(self.replica.state):
            await self.start()
        until_s = until_s or 1.2 * self.duration_s
        steps = 0
        while self.clock.time_s < until_s and self.rollout.is_running:
            self.clock.time_s += STEP_S
            steps += 1
            on_step(self)
            self._finish_requests()
            for route, (per_s, _) in self.routes.items():
                for _ in range(self._arrivals(per_s * STEP_S)):
                    await self._send(route)
            self._poll()
            if steps % 2 == 0:
                await self.leader.step()
        if self.rollout.state.value == "completed":
            self.left_on_old = sum(self.in_flight[name] for name in self.old)
        return self.rollout.state.value

    def _arrivals(self, mean):
        count, time = 0, self.random.expovariate(1.0)
        while time < mean:
            count += 1
            time += self.random.expovariate(1.0)
        return count

    async def _send(self, route):
        entry = self.random.choice(self.entries)
        versions = entry.rollouts
        versions.note_request(SERVICE, route)
        self.requests += 1
        pool = await versions.offer(SERVICE, route)
        if pool:
            target = self.random.choice(sorted(pool))
        else:
            known = self.old + (self.new if self.clock.time_s >= LISTED_S else [])
            target = self.random.choice(
                [name for name in known if not versions.is_barred(SERVICE, name)]
            )
        if target in self.new:
            self.exposed.append((self.clock.time_s, entry.name))
        self.in_flight[target] += 1
        self.sent[target] += 1
        failed, latency_s = self.behaviour(self, route, target)
        row = (entry, route, target, failed, latency_s)
        end_s = self.clock.time_s + latency_s
        heapq.heappush(self._running, (end_s, next(self._numbers), row))

    def _finish_requests(self):
        while self._running and self._running[0][0] <= self.clock.time_s:
            _, _, (entry, route, target, failed, latency_s) = heapq.heappop(
                self._running
            )
            self.in_flight[target] -= 1
            if failed:
                entry.rollouts.note_failed(SERVICE, route, target)
                if target in self.new:
                    self.bad_times_s.append(self.clock.time_s)
            else:
                entry.rollouts.note_start(SERVICE, route, target, latency_s)

    def _poll(self):
        has_news, self._has_news = self._has_news, False
        for entry in self.entries:
            is_due = entry.next_poll_s <= self.clock.time_s
            if entry.is_cut or not (is_due or has_news):
                continue
            entry.next_poll_s = self.clock.time_s + self.poll_s
            request = {"entry": entry.name, **entry.rollouts.request_fields()}
            self.leader.record(request)
            reply = self.leader.reply_fields(request)
            entry.rollouts.apply_reply(reply)
            entry.lease_end_s = self.clock.time_s + LEASE_S

    @property
    def canary_exposure(self):
        """Requests to the new version if it was never shifted to."""
        return len(self.exposed)

    @property
    def exposure_bound(self):
        return BOUNDS.share * self.requests + BOUNDS.slack_requests
