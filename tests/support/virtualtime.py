"""Event loops and clocks whose time does not depend on the load of the machine."""

import asyncio
import concurrent.futures
import selectors
import time
import unittest.mock

from lycheegauge.internal.transport import clock

START_S = 1000.0
"""Time at which a loop with sockets starts; product code takes 0 for long ago."""

IN_TRANSIT_S = 0.001
"""Time in which bytes sent on the loopback interface arrive, in seconds. Most arrive
within the call that sends them."""


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class _IdleJumpingSelector(selectors.DefaultSelector):
    """Advances the time only while no socket has anything to read or write."""

    def __init__(self):
        super().__init__()
        self.now = START_S

    def select(self, timeout=None):
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(IN_TRANSIT_S)
        if not ready:
            self.now += timeout
        return ready


class WorkClock(selectors.DefaultSelector):
    """Counts the waits of a loop and the processor time of its thread, in seconds.

    What other processes take from the machine does not count. Peers must run in the
    same thread, so that a wait ends with a timer and not with another process.
    """

    def __init__(self):
        super().__init__()
        self._waited_s = 0.0

    def select(self, timeout=None):
        began_at = time.monotonic()
        ready = super().select(timeout)
        waited_s = time.monotonic() - began_at
        if not ready and timeout is not None:
            # The thread may be resumed later than it asked for.
            waited_s = min(waited_s, max(0.0, timeout))
        self._waited_s += waited_s
        return ready

    def read(self):
        return self._waited_s + time.thread_time()

    def make_loop(self):
        """Creates a loop whose timers follow this clock, so that none bunch up."""
        loop = asyncio.SelectorEventLoop(self)
        loop.time = self.read
        return loop


class InlineExecutor(concurrent.futures.Executor):
    """Runs each call synchronously in the caller's thread."""

    def submit(self, fn, /, *args, **kwargs):
        future = concurrent.futures.Future()
        try:
            future.set_result(fn(*args, **kwargs))
        except Exception as error:
            future.set_exception(error)
        return future


def run(main):
    """Runs a coroutine function to completion in virtual time."""
    selector = _JumpingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    try:
        return loop.run_until_complete(main(loop.time))
    finally:
        loop.close()


def run_with_sockets(main):
    """Runs a coroutine with sockets of this process; only its timers take time."""
    selector = _IdleJumpingSelector()

    def read_clock():
        return selector.now

    def make_loop():
        loop = asyncio.SelectorEventLoop(selector)
        loop.time = read_clock
        return loop

    with (
        unittest.mock.patch.object(clock, "read_clock", read_clock),
        asyncio.Runner(loop_factory=make_loop) as runner,
    ):
        return runner.run(main)
