"""What a leader knows of one replica."""

from __future__ import annotations

import attrs

__all__ = ["Progress"]


@attrs.define
class Progress:
    """A replica as the leader sees it.

    Attributes:
      since_s: when the leader began to call it.
      match_index: the last index known to be on its disk.
      answered_s: when the last call that it answered was sent; minus infinity
        before the first answer.
    """

    since_s: float
    match_index: int = 0
    answered_s: float = float("-inf")
