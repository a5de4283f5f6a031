"""An event loop whose clock advances to the next timer when it would wait."""

import asyncio
import concurrent.futures
import selectors


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


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
