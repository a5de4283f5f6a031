"""The agent beside an engine, which reads the engine's state and forwards orders.

It makes no decisions and stores no state, so it can fail at any time without harm.
It also relays calls to other engines whose own agent the coordinator can't reach, and
to those of a part of a large group.
"""

import loguru

from lycheegauge import metrics, settings
from lycheegauge.internal import logs
from lycheegauge.internal.daemons import (
    engineclient,
    grouprelay,
    lifecycle,
    metricslistener,
)
from lycheegauge.internal.protocol import enginedialects, maporders
from lycheegauge.internal.transport import peers, services

CLIENTS_MAX = 8
"""Engines that an agent keeps connections to: its own, and some it has relayed to."""


class EngineAgentDaemon:
    """Owns the connection to one engine."""

    def __init__(self, part: settings.EngineAgentSettings) -> None:
        self._part = part
        self._dialect = enginedialects.get_dialect(part.dialect)
        self._clients: dict[str, engineclient.EngineClient] = {}
        self._pool = peers.ChannelPool()
        self._relay = grouprelay.GroupRelay(
            part.peer_address, self._get_client(""), self._pool
        )
        service = services.EngineAgentService(
            self.observe,
            self.order,
            self._relay.observe_many,
            self._relay.order_many,
            self._relay.plan_layer,
        )
        self._server = peers.PeerServer(part.peer_address, [service])
        self._metrics = metrics.Metrics()
        self._metrics.register_gauge(
            "lycheegauge_engines", "Engines called", lambda: len(self._clients)
        )
        self._metrics_listener = metricslistener.MetricsListener(
            part.metrics_address, self._metrics, part.limits
        )

    async def start(self) -> None:
        """Starts the listeners.

        Raises:
            OSError: The address can't be listened on.
        """
        address = await self._server.start()
        await self._metrics_listener.start()
        loguru.logger.info(
            "started", step="start", address=address, engine=self._part.engine_address
        )

    async def observe(
        self, question: maporders.EngineQuestion
    ) -> maporders.EngineReport:
        """Reads this host's engine, or another one that the caller can't reach.

        Raises:
            errors.LycheegaugeError: The engine gave no valid answer.
        """
        return await self._get_client(question.engine_address).observe(question)

    async def order(self, relayed: maporders.RelayedOrder) -> maporders.MapOrderReply:
        """Forwards an order to an engine."""
        reply = await self._get_client(relayed.engine_address).order(relayed.order)
        self._metrics.count_engine_order(reply.outcome.value)
        return reply

    def _get_client(self, engine_address: str) -> engineclient.EngineClient:
        address = engine_address or self._part.engine_address
        if address not in self._clients:
            if len(self._clients) >= CLIENTS_MAX:
                other = next(a for a in self._clients if a != self._part.engine_address)
                self._clients.pop(other).close()
            self._clients[address] = engineclient.EngineClient(self._dialect, address)
        return self._clients[address]

    async def drain(self) -> None:
        """Does nothing: the coordinator can work without this agent."""

    async def close(self) -> None:
        """Closes the listeners and all connections immediately."""
        await self._server.close()
        await self._metrics_listener.close()
        self._metrics.close()
        self._pool.close()
        for client in self._clients.values():
            client.close()


async def run_engineagent(source: settings.SettingsSource) -> int:
    """Runs the agent beside an engine until SIGTERM or SIGINT."""
    part: settings.EngineAgentSettings = source.read()
    writer = logs.configure_logs(part.name, part.log_level)
    code = await lifecycle.run_daemon(EngineAgentDaemon(part), part.stop_timeout_s)
    writer.close()
    return code
