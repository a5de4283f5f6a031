"""A channel pool whose agents are the simulated ranks of one lock-step group."""

import asyncio
import dataclasses
import random

from lycheegauge.internal.protocol import codec, maporders, routetables

NONE = -1


class SimulatedRank:
    """An engine that carries out map orders at once."""

    def __init__(self, rank, size, layout, source, group="group"):
        self.rank, self.size, self.layout = rank, size, layout
        self.group = group
        self.copies_forever = self.is_busy = False
        self.counts_asked = 0
        self.version = 0
        self.prepared = self.armed = self.armed_step = self.held = NONE
        self.weights = [
            source.paretovariate(1.2) for _ in range(layout.layers * layout.experts)
        ]
        self.counts = [0] * len(self.weights)

    def report(self, step):
        if self.armed != NONE and step >= self.armed_step:
            self.version, self.armed, self.armed_step = self.armed, NONE, NONE
        self.counts = [
            count + int(10 * weight)
            for count, weight in zip(self.counts, self.weights, strict=True)
        ]
        return maporders.EngineReport(
            f"server-{self.rank}", self.group, 1, self.rank, self.size, True,
            self.is_busy, 1.0,
            step, self.version, self.prepared, self.armed, self.armed_step, self.held,
            tuple(self.counts),
        )  # fmt: skip

    def order(self, order):
        match order.kind:
            case maporders.MapOrderKind.PREPARE:
                self.is_busy = self.copies_forever
                if not self.is_busy:
                    self.prepared = order.version
            case maporders.MapOrderKind.HOLD:
                self.held = order.step
            case maporders.MapOrderKind.ARM:
                self.armed, self.armed_step = order.version, order.step
            case maporders.MapOrderKind.GO:
                self.held = NONE


class GroupPool:
    """Calls the ranks' agents in this process, through the codec.

    All ranks prefer the same experts, so that a new map pays.
    """

    def __init__(self, ranks, layout, groups=("group",)):
        self.ranks = [
            SimulatedRank(rank, ranks, layout, random.Random(1), group)
            for group in groups
            for rank in range(ranks)
        ]
        self.step = 0

    def advance(self, steps):
        """Runs passes, up to the one before a held pass."""
        held = [rank.held for rank in self.ranks if rank.held != NONE]
        self.step = min([self.step + steps, *(step - 1 for step in held)])

    def get_address(self, rank):
        return f"10.0.0.{rank + 1}:80"

    async def call(self, address, step, method, message, timeout_s, drop_on_failure):
        message = codec.encode(message)
        message = codec.decode(type(message).FromString(message.SerializeToString()))
        target = getattr(message, "engine_address", "") or address
        rank = self.ranks[int(target.split(":")[0].split(".")[-1]) - 1]
        await asyncio.sleep(0)
        if isinstance(message, maporders.EngineQuestion):
            rank.counts_asked += message.counts
            report = rank.report(self.step)
            if not message.counts:
                report = dataclasses.replace(report, counts=())
            return codec.decode(codec.encode(report))
        rank.order(message.order)
        return maporders.MapOrderReply(maporders.MapOrderOutcome.DONE)


def make_layout(layers, experts):
    return routetables.ExpertLayout(layers, experts, slots=5, copies=2)
