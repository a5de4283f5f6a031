import asyncio
import contextlib
import gc
import signal

import behave
from support import processes

from lycheegauge import settings
from lycheegauge.internal.daemons import gateway, lifecycle


@behave.then(
    "a task that fails {times:d} times is started again each time, after growing pauses"
)
def check_restarts(context, times):
    async def run():
        loop = asyncio.get_running_loop()
        starts, is_running = [], asyncio.Event()

        async def work():
            starts.append(loop.time())
            if len(starts) <= times:
                raise ValueError("unexpected")
            is_running.set()
            await asyncio.sleep(60)

        context.task = lifecycle.start_task(work)
        async with asyncio.timeout(10):
            await is_running.wait()
        context.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await context.task
        return starts

    starts = asyncio.run(run())
    assert len(starts) == times + 1, starts
    pauses = [
        later - earlier for earlier, later in zip(starts, starts[1:], strict=False)
    ]
    assert pauses == sorted(pauses) and pauses[0] >= 0.05, pauses


@behave.then("a task that is cancelled is not started again")
def check_cancelled(context):
    assert context.task.cancelled()


@behave.given("a forwarding host whose pull fails with an unexpected error once")
def make_failing_host(context):
    port = processes.reserve_ports(1)[0]
    context.part = settings.GatewaySettings(
        name="gateway-1", availability_zone="zone-a",
        caller_address="127.0.0.1:0", readiness_address="127.0.0.1:0",
        peer_address=f"127.0.0.1:{port}",
        roster={"seed_hosts": ("127.0.0.9:1",)},
    )  # fmt: skip


@behave.then("it pulls again within {limit_s:d} seconds")
def check_pulls(context, limit_s):
    async def run():
        daemon = gateway.GatewayDaemon(context.part)
        pulls, has_pulled = [], asyncio.Event()

        async def pull_once():
            pulls.append(1)
            if len(pulls) == 1:
                raise ValueError("unexpected")
            has_pulled.set()
            return True

        daemon._pull_once = pull_once
        await daemon.start()
        try:
            async with asyncio.timeout(limit_s):
                await has_pulled.wait()
        finally:
            await daemon.close()

    asyncio.run(run())


@behave.then("a daemon that has started has its heap frozen until it stops")
def check_frozen_heap(context):
    gc.unfreeze()

    class Daemon:
        async def start(self):
            asyncio.get_running_loop().call_soon(signal.raise_signal, signal.SIGTERM)

        async def drain(self):
            context.frozen = gc.get_freeze_count()

        async def close(self):
            pass

    asyncio.run(lifecycle.run_daemon(Daemon(), 1.0))
    # A gateway's modules alone are some 60,000 objects.
    assert context.frozen > 10_000, context.frozen
