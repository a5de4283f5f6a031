"""Sends the log's messages to the other replicas in order and in batches."""

import asyncio
import collections.abc
import typing

from lycheegauge import errors
from lycheegauge.internal.protocol import agreement, codec
from lycheegauge.internal.transport import peers

SEND_TIMEOUT_S = 2.0

MethodGetter = collections.abc.Callable[[typing.Any], typing.Any]
"""Returns the stub's delivery method for a channel."""


class ReplicaSender:
    """Queues and sends the messages to each replica.

    Only one call at a time goes to each replica, which keeps messages in order. A
    call carries all queued messages: with one call per message, eight concurrent
    bookings waited for each other's round trips. When a call fails, the queued
    messages are dropped, which the log tolerates.
    """

    def __init__(
        self,
        pool: peers.ChannelPool,
        get_method: MethodGetter,
        timeout_s: float = SEND_TIMEOUT_S,
    ) -> None:
        self._pool = pool
        self._get_method = get_method
        self._timeout_s = timeout_s
        self._send_tasks: dict[str, asyncio.Task[None]] = {}
        self._outboxes: dict[str, list[agreement.Message]] = {}

    def send(self, receiver: agreement.Voter, message: agreement.Message) -> None:
        """Sends a message after those already queued for the same replica."""
        outbox = self._outboxes.setdefault(receiver.host, [])
        outbox.append(message)
        if receiver.host not in self._send_tasks:
            task = asyncio.create_task(self._send_outbox(receiver.host))
            self._send_tasks[receiver.host] = task

    def close(self) -> None:
        """Cancels the calls in progress and drops queued messages."""
        for task in self._send_tasks.values():
            task.cancel()

    async def _send_outbox(self, address: str) -> None:
        outbox = self._outboxes[address]
        try:
            while outbox:
                batch = tuple(outbox)
                outbox.clear()
                await self._send_batch(address, batch)
        except errors.PeerUnreachableError:
            outbox.clear()
            self._pool.drop_channel(address)
        finally:
            del self._send_tasks[address]

    async def _send_batch(
        self, address: str, batch: tuple[agreement.Message, ...]
    ) -> None:
        with peers.translate_failures("replicate", address):
            method = self._get_method(self._pool.get_channel(address))
            await method(codec.wrap_batch(batch), timeout=self._timeout_s)
