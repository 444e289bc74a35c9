"""Finds an entry that reaches a target which this one does not.

Most entries may have lost their links at the same time, and what is known of them may
be old. So several are asked at a time whether they can connect to the target.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable, Iterable

import attrs

from endivesill import errors
from endivesill.forwarding.proxy_peers import ProxyPeers
from endivesill.timer import TimerService

__all__ = [
    "MAX_SEARCH_S",
    "SHORT_SEARCH_S",
    "UNREACHED_S",
    "Answer",
    "ProxySearch",
    "SearchResult",
]

# Entries that are asked at a time, and at most.
WAVE_SIZE = 4
MAX_ASKED = 12
# Time after which the next ones are asked. A link that hangs takes longer to answer,
# and one that works a few milliseconds.
WAVE_S = 0.06
# Time for answers of further entries after the first one that reaches the target, so
# that requests are spread over them.
SETTLE_S = 0.005
# Longest time of a search, and of one for a target that is likely down.
MAX_SEARCH_S = 0.3
SHORT_SEARCH_S = 0.1
# How long no search is made for a target that none has reached.
UNREACHED_S = 0.5
# Questions of one entry at a time; a burst of requests asks no more.
MAX_QUESTIONS = 48


class Answer(enum.Enum):
    """What an entry has said of its link to a target."""

    REACHED = "reached"
    UNREACHED = "unreached"
    # The target's host refuses connections, and this entry reaches others.
    REFUSED = "refused"
    # It has not answered, or sends nothing for others now.
    UNAVAILABLE = "unavailable"


@attrs.frozen
class SearchResult:
    """The result of a search.

    Attributes:
      peer: an entry that reaches the target; None without one.
      is_answered: whether an entry that was asked does not reach it, or still tries.
      is_refused: whether the target's host refuses connections.
    """

    peer: str | None
    is_answered: bool = False
    is_refused: bool = False


class ProxySearch:
    """Asks entries which of them reaches a target.

    Args:
      timer: the timer service.
      peers: the entries; told what they answer.
      ask: asks the entry with an address about the target with an address and an
        incarnation; it does not raise and ends within a bounded time.

    Attributes:
      on_search: called when a search begins, to get other entries from the leader.
      searches: number of searches so far.
    """

    def __init__(
        self,
        timer: TimerService,
        peers: ProxyPeers,
        ask: Callable[[str, str, str], Awaitable[Answer]],
    ) -> None:
        self._timer = timer
        self._peers = peers
        self._ask = ask
        self._questions: set[asyncio.Task[None]] = set()
        self._running: dict[str, asyncio.Task[SearchResult]] = {}
        # By incarnation: until when its last search stands, and what it has said.
        self._unreached: dict[str, tuple[float, SearchResult]] = {}
        self.on_search: Callable[[], None] = lambda: None
        self.searches = 0

    async def find(
        self,
        address: str,
        incarnation: str,
        excluded: Iterable[str] = (),
        *,
        longest_s: float = MAX_SEARCH_S,
    ) -> SearchResult:
        """Return an entry that reaches a target.

        Args:
          address: HOST:PORT of the target.
          incarnation: the target.
          excluded: entries that are not asked.
          longest_s: longest time of the search.
        """
        now_s = self._timer.now_s()
        until_s, last = self._unreached.get(incarnation, (now_s, None))
        if last is not None and now_s < until_s:
            return last
        task = self._running.get(incarnation)
        if task is None:
            task = asyncio.ensure_future(
                self._run(address, incarnation, set(excluded), longest_s)
            )
            self._running[incarnation] = task
            task.add_done_callback(lambda task: self._running.pop(incarnation))
        result = await asyncio.shield(task)
        if result.peer is None:
            return result
        # Several may reach it; requests that have waited for one search are spread.
        return SearchResult(self._peers.choose(set(excluded)))

    def _forget_old(self) -> None:
        now_s = self._timer.now_s()
        for incarnation in [k for k, v in self._unreached.items() if v[0] <= now_s]:
            del self._unreached[incarnation]

    async def _run(
        self, address: str, incarnation: str, excluded: set[str], longest_s: float
    ) -> SearchResult:
        self.searches += 1
        self.on_search()
        result = await self._ask_in_waves(address, incarnation, excluded, longest_s)
        if result.peer is None:
            self._forget_old()
            until_s = self._timer.now_s() + UNREACHED_S
            self._unreached[incarnation] = (until_s, result)
        return result

    async def _ask_in_waves(
        self, address: str, incarnation: str, excluded: set[str], longest_s: float
    ) -> SearchResult:
        ends_s = self._timer.now_s() + longest_s
        answers: asyncio.Queue[tuple[str, Answer]] = asyncio.Queue()
        asked: list[str] = []
        seen: list[Answer] = []
        while self._timer.now_s() < ends_s:
            wave = self._next_wave([*excluded, *asked], MAX_ASKED - len(asked))
            asked += wave
            for peer in wave:
                self._start_question(peer, address, incarnation, answers)
            if len(seen) == len(asked):
                break
            wave_ends_s = min(ends_s, self._timer.now_s() + WAVE_S) if wave else ends_s
            found = await self._read_answers(answers, seen, len(asked), wave_ends_s)
            if found is not None:
                return SearchResult(found)
        # Those that have not answered yet try links that hang.
        is_answered = seen.count(Answer.UNAVAILABLE) < len(asked)
        return SearchResult(None, is_answered, Answer.REFUSED in seen)

    async def _read_answers(
        self,
        answers: asyncio.Queue[tuple[str, Answer]],
        seen: list[Answer],
        asked_count: int,
        until_s: float,
    ) -> str | None:
        """Read answers up to a time; return an entry that reaches the target."""
        found = None
        while len(seen) < asked_count:
            try:
                peer, answer = await self._timer.wait_for(
                    answers.get(), max(0.0, until_s - self._timer.now_s())
                )
            except errors.DeadlineExceededError:
                break
            seen.append(answer)
            if answer is Answer.REACHED and found is None:
                found = peer
                until_s = min(until_s, self._timer.now_s() + SETTLE_S)
        return found

    def _next_wave(self, excluded: list[str], most: int) -> list[str]:
        room = min(WAVE_SIZE, most, MAX_QUESTIONS - len(self._questions))
        return self._peers.choose_several(excluded, max(0, room))

    def _start_question(
        self,
        peer: str,
        address: str,
        incarnation: str,
        answers: asyncio.Queue[tuple[str, Answer]],
    ) -> None:
        async def put_answer() -> None:
            answer = await self._ask(peer, address, incarnation)
            self._note(peer, answer)
            answers.put_nowait((peer, answer))

        # Not cancelled by the end of the search: late answers tell of the peers, too.
        task = asyncio.ensure_future(put_answer())
        self._questions.add(task)
        task.add_done_callback(self._questions.discard)

    def _note(self, peer: str, answer: Answer) -> None:
        if answer is Answer.REACHED:
            self._peers.note_reached(peer)
        elif answer is Answer.UNAVAILABLE:
            self._peers.note_down(peer)
        elif answer is Answer.UNREACHED:
            self._peers.avoid(peer)
