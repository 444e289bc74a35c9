"""Returns free memory of the C library's allocator to the system."""

from __future__ import annotations

import ctypes
import os
import pathlib

import attrs

from endivesill.timer import TimerService

__all__ = ["FreeMemory", "MemoryUse"]

# Time from the first change of what is held to a look at the memory; what a request
# held is free by then, and a busy process looks no more often.
LOOK_DELAY_S = 2.0
# Resident memory without a use that is worth the milliseconds of a return. Callers
# that leave may leave no more than 10 MB behind.
RETURNED_BYTES = 4 * 1_048_576
# Least time between two returns, also where free memory cannot be returned.
RETURN_PAUSE_S = 5.0
STATM = pathlib.Path("/proc/self/statm")


class _AllocatorState(ctypes.Structure):
    """`struct mallinfo2` of the GNU C library."""

    _fields_ = [
        (name, ctypes.c_size_t)
        for name in (
            "arena",
            "ordblks",
            "smblks",
            "hblks",
            "hblkhd",
            "usmblks",
            "fsmblks",
            "uordblks",
            "fordblks",
            "keepcost",
        )
    ]


class MemoryUse:
    """Memory of this process, as the system and the C library's allocator see it.

    Attributes:
      is_known: whether both say, as on Linux with the GNU C library from 2.33 on.
    """

    def __init__(self) -> None:
        self._library = ctypes.CDLL(None)
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        self.is_known = hasattr(self._library, "mallinfo2") and STATM.exists()
        if self.is_known:
            self._library.mallinfo2.restype = _AllocatorState

    def resident_bytes(self) -> int:
        """Return the resident memory."""
        return int(STATM.read_bytes().split()[1]) * self._page_bytes

    def allocated_bytes(self) -> int:
        """Return what the allocator has given out."""
        state = self._library.mallinfo2()
        return int(state.uordblks + state.hblkhd)

    def return_free(self) -> None:
        """Return the allocator's free pages to the system; takes milliseconds."""
        self._library.malloc_trim(0)


@attrs.define
class FreeMemory:
    """Returns the allocator's free memory once there is much of it.

    The GNU allocator keeps what was freed below its newest allocation. After a crowd of
    callers that can be most of a process's memory, whoever held it: bodies, responses
    of targets, or the buffers of their connections. Resident memory that is not given
    out shows it, which counting what is held does not.

    Attributes:
      timer: the timer service.
      use: the memory of the process.
    """

    timer: TimerService
    use: MemoryUse = attrs.Factory(MemoryUse)
    _is_due: bool = attrs.field(default=False, init=False)
    # The least resident memory so far that was not given out.
    _least_free_bytes: float = attrs.field(default=float("inf"), init=False)
    _next_return_s: float = attrs.field(default=float("-inf"), init=False)

    def note_change(self) -> None:
        """Look at the memory some time after a change of what the process holds."""
        self._look_after(LOOK_DELAY_S)

    def _look_after(self, delay_s: float) -> None:
        if not self._is_due and self.use.is_known:
            self._is_due = True
            self.timer.call_after(delay_s, self._look)

    def _look(self) -> None:
        self._is_due = False
        free_bytes = self._free_bytes()
        # Before the first comparison, a crowd may be there already.
        is_first = self._least_free_bytes == float("inf")
        now_s = self.timer.now_s()
        if (is_first or self._is_much(free_bytes)) and now_s >= self._next_return_s:
            self._next_return_s = now_s + RETURN_PAUSE_S
            self.use.return_free()
            free_bytes = self._free_bytes()
        self._least_free_bytes = min(self._least_free_bytes, free_bytes)
        if self._is_much(free_bytes):
            # Pages of which only a part is free may be free later.
            self._look_after(RETURN_PAUSE_S)

    def _free_bytes(self) -> int:
        return self.use.resident_bytes() - self.use.allocated_bytes()

    def _is_much(self, free_bytes: int) -> bool:
        return free_bytes > self._least_free_bytes + RETURNED_BYTES
