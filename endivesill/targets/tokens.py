"""Scanner for a generation's server-sent events that does not parse their JSON.

An event of an engine consists of an `id: GENERATION:INDEX` line, a `data:` line and
an empty line; the stream ends with `data: [DONE]`. The scanner passes complete
events with consecutive indexes and counts them.
"""

from __future__ import annotations

import attrs

from endivesill import errors

__all__ = ["ScannedBlock", "TokenScanner"]

DONE_EVENT = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
MAXIMUM_EVENT_BYTES = 1_048_576


@attrs.define
class ScannedBlock:
    """Result of one scan.

    Attributes:
      data: the bytes of complete token events to forward, in order.
      tokens: the number of tokens in them.
      done: whether the stream has ended.
    """

    data: bytes
    tokens: int
    done: bool


class TokenScanner:
    """Ensures that each token of a generation is forwarded once and in order.

    Args:
      generation_id: the only generation whose tokens are accepted.
      next_index: the index of the first token to forward.
    """

    def __init__(self, generation_id: str, next_index: int = 0) -> None:
        self._id_prefix = f"id: {generation_id}:".encode()
        self._incomplete = b""
        self.next_index = next_index
        self.done = False

    def discard_incomplete(self) -> None:
        """Discard the incomplete event that a broken connection has left."""
        self._incomplete = b""

    def scan(self, chunk: bytes) -> ScannedBlock:
        """Scan received bytes.

        Args:
          chunk: the bytes; an event may be split over several chunks.

        Returns:
          The events completed by the chunk, without tokens before the next index,
          which an engine repeats after a resume.

        Raises:
          TargetError: an event of another generation, a gap in the indexes, or a
            malformed or oversized event.
        """
        data = self._incomplete + chunk if self._incomplete else chunk
        if data.endswith(EVENT_END):
            self._incomplete = b""
        else:
            end = data.rfind(EVENT_END)
            self._incomplete = data[end + 2 :] if end >= 0 else data
            data = data[: end + 2] if end >= 0 else b""
            if len(self._incomplete) > MAXIMUM_EVENT_BYTES:
                raise errors.TargetError("an event is too large")
        return self._validate(data)

    def _validate(self, data: bytes) -> ScannedBlock:
        is_done = data.endswith(DONE_EVENT)
        if is_done:
            data = data[: -len(DONE_EVENT)]
        first_index = self.next_index
        index = first_index
        id_prefix = self._id_prefix
        position = 0
        new_start = 0
        size = len(data)
        while position < size:
            expected = b"%s%d\n" % (id_prefix, index)
            end = data.find(EVENT_END, position)
            if not data.startswith(expected, position):
                if not self._is_repeated(data, position, index):
                    line = data[position : position + 80].split(b"\n")[0]
                    raise errors.TargetError(f"unexpected event {line!r}")
                new_start = end + 2
            else:
                index += 1
            position = end + 2
        self.next_index = index
        self.done = is_done
        return ScannedBlock(
            data[new_start:] if new_start else data, index - first_index, self.done
        )

    def _is_repeated(self, data: bytes, position: int, index: int) -> bool:
        """Return whether an event is a token that has already been forwarded."""
        if not data.startswith(self._id_prefix, position) or index > self.next_index:
            return False
        start = position + len(self._id_prefix)
        number = data[start : data.find(b"\n", start)]
        return number.isdigit() and int(number) < index
