"""Scan of a generation's server-sent events, without parsing their JSON.

An event of an engine is `id: GENERATION:INDEX`, a `data:` line and an empty
line; the stream ends with `data: [DONE]`. The scanner passes on whole events
whose indexes follow one another and tells how many there were.
"""

from __future__ import annotations

import attrs

from endivesill import errors

__all__ = ["ScannedBlock", "TokenScanner"]

DONE_EVENT = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
LARGEST_EVENT_BYTES = 1_048_576


@attrs.define
class ScannedBlock:
    """What one scan found.

    Attributes:
      data: the bytes of whole token events to pass on, in order.
      tokens: how many tokens they hold.
      done: whether the end of the stream was seen.
    """

    data: bytes
    tokens: int
    done: bool


class TokenScanner:
    """Checks that each token of one generation comes once and in order.

    Args:
      generation_id: the only generation whose tokens may pass.
      next_index: the index of the first token to pass.
    """

    def __init__(self, generation_id: str, next_index: int = 0) -> None:
        self._prefix = f"id: {generation_id}:".encode()
        self._rest = b""
        self.next_index = next_index
        self.done = False

    def restart(self) -> None:
        """Forget the part of an event that a broken connection left."""
        self._rest = b""

    def scan(self, chunk: bytes) -> ScannedBlock:
        """Scan what has arrived.

        Args:
          chunk: bytes as they came; an event may be split over chunks.

        Returns:
          The whole events of the chunk. Tokens before the next index, which an
          engine repeats after a resume, are left out.

        Raises:
          TargetError: an event of another generation, a gap, or a broken event.
        """
        data = self._rest + chunk if self._rest else chunk
        if data.endswith(EVENT_END):
            self._rest = b""
        else:
            end = data.rfind(EVENT_END)
            self._rest = data[end + 2 :] if end >= 0 else data
            data = data[: end + 2] if end >= 0 else b""
            if len(self._rest) > LARGEST_EVENT_BYTES:
                raise errors.TargetError("an event is too large")
        return self._check(data)

    def _check(self, data: bytes) -> ScannedBlock:
        is_done = data.endswith(DONE_EVENT)
        if is_done:
            data = data[: -len(DONE_EVENT)]
        first_index = self.next_index
        index = first_index
        prefix = self._prefix
        position = 0
        keep_from = 0
        size = len(data)
        while position < size:
            expected = b"%s%d\n" % (prefix, index)
            end = data.find(EVENT_END, position)
            if not data.startswith(expected, position):
                if not self._is_repeated(data, position, index):
                    line = data[position : position + 80].split(b"\n")[0]
                    raise errors.TargetError(f"unexpected event {line!r}")
                keep_from = end + 2
            else:
                index += 1
            position = end + 2
        self.next_index = index
        self.done = is_done
        return ScannedBlock(
            data[keep_from:] if keep_from else data, index - first_index, self.done
        )

    def _is_repeated(self, data: bytes, position: int, index: int) -> bool:
        """Tell whether an event is a token that was passed on already."""
        if not data.startswith(self._prefix, position) or index > self.next_index:
            return False
        start = position + len(self._prefix)
        number = data[start : data.find(b"\n", start)]
        return number.isdigit() and int(number) < index
