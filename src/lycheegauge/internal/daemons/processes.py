"""Entry points of the processes: entry host, agent, fake backend server."""

import collections.abc

import loguru

from lycheegauge import errors, settings
from lycheegauge.internal import logs
from lycheegauge.internal.daemons import agent, entry, fakeserver, lifecycle
from lycheegauge.internal.protocol import agreement
from lycheegauge.internal.state import journal


async def run_entry(part: settings.EntrySettings) -> int:
    """Runs an entry host until SIGTERM or SIGINT."""
    logs.configure_logs(part.name, part.log_level)
    return await lifecycle.run_daemon(entry.EntryDaemon(part), part.stop_timeout_s)


async def run_agent(part: settings.AgentSettings) -> int:
    """Runs an agent until SIGTERM or SIGINT."""
    logs.configure_logs(part.name, part.log_level)
    return await lifecycle.run_daemon(agent.AgentDaemon(part), part.stop_timeout_s)


async def run_fake(fake: fakeserver.FakeSettings) -> int:
    """Runs a fake backend server until SIGTERM or SIGINT."""
    logs.configure_logs(f"fake {fake.service}", "INFO")
    server = fakeserver.FakeServer(fake)
    await server.start()
    loguru.logger.info("started", step="start", address=server.address)
    await lifecycle.wait_for_signal()
    await server.close()
    return lifecycle.EXIT_DONE


def initialise_disk(part: settings.EntrySettings) -> None:
    """Writes the identity named in the settings to the data folder.

    Raises:
        errors.SettingsError: The host is not among the voters.
        errors.StorageFailedError: The folder already has an identity or can't be
            written.
    """
    assert part.log is not None
    journal.Journal.initialise(part.log.data_folder, find_identity(part))


def find_identity(part: settings.EntrySettings) -> agreement.Voter:
    """Returns the identity of this host among the initial voters.

    Raises:
        errors.SettingsError: The host is not among them.
    """
    voters: collections.abc.Sequence[settings.LogVoter]
    voters = part.log.voters if part.log else ()
    for voter in voters:
        if voter.host == part.peer_address:
            return agreement.Voter(voter.host, voter.disk_id)
    message = f"peer_address {part.peer_address} is not among entry.log.voters"
    raise errors.SettingsError(message, "find identity")
