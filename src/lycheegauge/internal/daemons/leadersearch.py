"""Finds the log's leader among log hosts of which some may be down.

A host without power lets calls time out. So the next host is asked before the ones
before it have answered.
"""

import asyncio
import collections.abc
import contextlib

from lycheegauge import errors
from lycheegauge.internal.protocol import roster

ASK_INTERVAL_S = 0.1
"""Time after which the next host is asked although no other one has answered."""

Ask = collections.abc.Callable[
    [str], collections.abc.Coroutine[None, None, roster.MembershipAnswer]
]


async def find_leader(
    hosts: collections.abc.Sequence[str], lost: str, ask: Ask
) -> roster.MembershipAnswer | None:
    """Asks log hosts until one names the leader.

    Args:
        hosts: The addresses of the log hosts, in the order in which they are asked.
        lost: The address of a leader that did not answer. The other hosts may not have
            noticed yet, so it counts only if nobody names another one.
        ask: Asks one host.

    Returns:
        The answer that names the leader; ``None`` if there is none.
    """
    named = None
    async with contextlib.aclosing(_ask_in_turn(hosts, ask)) as answers:
        async for answer in answers:
            if answer.leader_address not in ("", lost):
                return answer
            if answer.leader_address:
                named = answer
    return named


async def _ask_in_turn(
    hosts: collections.abc.Sequence[str], ask: Ask
) -> collections.abc.AsyncGenerator[roster.MembershipAnswer, None]:
    """Yields the answers of hosts in the order in which they arrive.

    Hosts that answer nothing are not waited for once all have been asked.
    """
    waiting = list(hosts)
    calls: set[asyncio.Task[roster.MembershipAnswer]] = set()
    try:
        while waiting or calls:
            if waiting:
                calls.add(asyncio.create_task(ask(waiting.pop(0))))
            was_last = not waiting
            done, calls = await asyncio.wait(
                calls, timeout=ASK_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
            )
            if was_last and not done:
                return
            for call in done:
                if not isinstance(call.exception(), errors.PeerUnreachableError):
                    yield call.result()
    finally:
        for call in calls:
            call.cancel()
