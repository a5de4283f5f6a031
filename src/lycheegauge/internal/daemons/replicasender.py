"""Sends the log's messages to the other replicas, in order and in batches."""

import asyncio
import collections.abc
import typing

from lycheegauge import errors
from lycheegauge.internal.protocol import agreement, codec
from lycheegauge.internal.transport import peers

SEND_TIMEOUT_S = 2.0

MethodPicker = collections.abc.Callable[[typing.Any], typing.Any]
"""Picks the stub's delivery method for a channel."""


class ReplicaSender:
    """Owns the messages that wait for each replica.

    One call at a time to each replica keeps messages in order, and takes all
    that waits: a call for each message made eight bookings at once wait for
    each other's round trips. What waits when a call fails is dropped, which the
    log allows.
    """

    def __init__(
        self,
        pool: peers.ChannelPool,
        pick_method: MethodPicker,
        timeout_s: float = SEND_TIMEOUT_S,
    ) -> None:
        self._pool = pool
        self._pick_method = pick_method
        self._timeout_s = timeout_s
        self._sending: dict[str, asyncio.Task[None]] = {}
        self._outboxes: dict[str, list[agreement.Message]] = {}

    def send(self, receiver: agreement.Voter, message: agreement.Message) -> None:
        """Sends a message, after those that wait for the same replica."""
        outbox = self._outboxes.setdefault(receiver.host, [])
        outbox.append(message)
        if receiver.host not in self._sending:
            task = asyncio.create_task(self._empty_outbox(receiver.host))
            self._sending[receiver.host] = task

    def close(self) -> None:
        """Drops what waits."""
        for task in self._sending.values():
            task.cancel()

    async def _empty_outbox(self, address: str) -> None:
        outbox = self._outboxes[address]
        try:
            while outbox:
                batch = tuple(outbox)
                outbox.clear()
                await self._deliver_to(address, batch)
        except errors.PeerUnreachableError:
            outbox.clear()
            self._pool.drop_channel(address)
        finally:
            del self._sending[address]

    async def _deliver_to(
        self, address: str, batch: tuple[agreement.Message, ...]
    ) -> None:
        with peers.translate_failures("replicate", address):
            method = self._pick_method(self._pool.get_channel(address))
            await method(codec.wrap_batch(batch), timeout=self._timeout_s)
