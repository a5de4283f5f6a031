"""The monotonic clock; only durations are ever compared between hosts."""

import collections.abc
import random
import time


def read_clock() -> float:
    """Returns monotonic seconds since an arbitrary start, suspended time included.

    A lease that did not count the time of a suspended machine would outlast its
    issuer's bound.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


NameStart = collections.abc.Callable[[int, random.Random], str]


def name_start(name: NameStart) -> str:
    """Names this start of a process after the host's wall clock.

    Only starts of one process on its own host are told apart by it.
    """
    return name(time.time_ns(), random.SystemRandom())
