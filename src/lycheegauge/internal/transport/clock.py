"""The clocks. Hosts exchange durations only, never readings of the monotonic clock."""

import collections.abc
import random
import time


def read_clock() -> float:
    """Returns monotonic seconds since an arbitrary start, including suspended time.

    If time in suspension did not count, a lease could be held for longer than
    its issuer assumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_unix_ms() -> int:
    """Returns the host's wall clock, to compare with the starts that servers state."""
    return time.time_ns() // 1_000_000


FormatIncarnation = collections.abc.Callable[[int, random.Random], str]


def create_incarnation(format_incarnation: FormatIncarnation) -> str:
    """Creates the identity of this process start from the host's wall clock.

    It only distinguishes successive starts of one process on the same host.
    """
    return format_incarnation(time.time_ns(), random.SystemRandom())
