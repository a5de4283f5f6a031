"""The agent beside an engine: it reads the engine and passes orders on.

It decides nothing and keeps nothing, so that it can be lost at any moment.
"""

import loguru

from lycheegauge import settings
from lycheegauge.internal import logs
from lycheegauge.internal.daemons import engineclient, lifecycle
from lycheegauge.internal.protocol import enginedialects
from lycheegauge.internal.transport import peers, services


class EngineAgentDaemon:
    """Owns the connection to one engine."""

    def __init__(self, part: settings.EngineAgentSettings) -> None:
        self._part = part
        dialect = enginedialects.get_dialect(part.dialect)
        self._client = engineclient.EngineClient(dialect, part.engine_address)
        service = services.EngineAgentService(self._client.observe, self._client.order)
        self._server = peers.PeerServer(part.peer_address, [service])

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address can't be listened on.
        """
        address = await self._server.start()
        loguru.logger.info(
            "started", step="start", address=address, engine=self._part.engine_address
        )

    async def drain(self) -> None:
        """Does nothing; the coordinator does without this agent."""

    async def close(self) -> None:
        """Closes everything at once."""
        await self._server.close()
        self._client.close()


async def run_engineagent(source: settings.SettingsSource) -> int:
    """Runs the agent beside an engine until SIGTERM or SIGINT."""
    part: settings.EngineAgentSettings = source.read()
    writer = logs.configure_logs(part.name, part.log_level)
    code = await lifecycle.run_daemon(EngineAgentDaemon(part), part.stop_timeout_s)
    writer.close()
    return code
