"""Records what this host's requests show of the servers."""

import collections.abc

import loguru

from lycheegauge.internal.coordination import (
    declaredservices,
    hostshares,
    requestwork,
    rosterview,
    serverchoice,
    serverevidence,
    serverstatements,
)
from lycheegauge.internal.protocol import controlcalls, roster
from lycheegauge.internal.transport import clock, upstream


class ServerRecords:
    """Records sent, ended, answered and failed requests, and what servers state.

    Attributes:
        on_load_changed: Called when the open requests of this host change.

    Args:
        view: The roster.
        services: The declared services.
        choice: The open requests and the memory of the servers.
        statements: What the servers' answers stated.
        evidence: The servers that are out because they fail requests.
        share: This host's fraction of all limits.
        names: The names of headers.
    """

    def __init__(
        self,
        view: rosterview.RosterView,
        services: declaredservices.DeclaredServices,
        choice: serverchoice.ServerChoice,
        statements: serverstatements.ServerStatements,
        evidence: serverevidence.ServerEvidence,
        share: hostshares.HostShareHolder,
        names: controlcalls.HeaderNames,
    ) -> None:
        self._view = view
        self._services = services
        self._choice = choice
        self._statements = statements
        self._evidence = evidence
        self._share = share
        self._names = names
        self.on_load_changed: collections.abc.Callable[[], None] = _do_nothing

    def note_sent(
        self,
        server: roster.ServerListing,
        size: requestwork.ExpectedSize | None = None,
    ) -> requestwork.RequestWork | None:
        """Records that a request is sent to a server.

        Returns:
            What it holds and brings there; ``None`` if ``size`` is not given.
        """
        self._choice.note_sent(server.name)
        self._statements.note_sent(server.incarnation)
        self._evidence.note_sent(server, clock.read_clock())
        self.on_load_changed()
        model = self._services.make_work_model(server.service)
        if size is None or model is None:
            return None
        brought = requestwork.RequestWork(server.incarnation, size, model)
        self._choice.memory.add(brought)
        return brought

    def note_ended(
        self,
        server: roster.ServerListing,
        brought: requestwork.RequestWork | None = None,
    ) -> None:
        """Records that a request no longer loads a server."""
        self._choice.note_ended(server.name)
        if brought is not None:
            self._choice.memory.remove(brought)
        self._evidence.note_ended(server)
        self.on_load_changed()

    def note_heard(self, server: roster.ServerListing, sent_at: float) -> None:
        """Records that no more will be heard of a request than what was noted.

        Args:
            server: The server.
            sent_at: When the request was sent, in seconds.
        """
        self._statements.note_ended(server.incarnation, sent_at)

    def note_statement(
        self,
        server: roster.ServerListing,
        head: upstream.ResponseHead,
        is_late: bool = False,
    ) -> None:
        """Records what a server's answer states about the server.

        Args:
            server: The server.
            head: The head of the answer.
            is_late: Whether its request had ended before; for the log.
        """
        now, names = clock.read_clock(), self._names
        if self._services.weighs_work(server.service):
            stated = serverstatements.parse_load(head.get(names.server_load))
            if stated is not None:
                self._choice.note_stated_load(server.name, stated, now)
        statement = serverstatements.read_statement(
            head.status,
            head.get(names.server_limit),
            head.get(names.server_leaving),
            head.get(names.retry_after),
        )
        interval = self._share.get_interval(now)
        news = self._statements.note_answer(server, statement, interval, now)
        if news.is_new_limit:
            loguru.logger.info(
                "limit stated by a backend server",
                server=server.name,
                requests_per_s=statement.limit,
            )
        if news.is_new_leaving:
            loguru.logger.info(
                "a backend server says that it leaves",
                server=server.name,
                born_ms=server.born_ms,
                is_late=is_late,
            )
        if statement.wait_s:
            loguru.logger.info(
                "a backend server wants no requests",
                server=server.name,
                wait_s=statement.wait_s,
                unreadable=statement.unreadable[:64],
                is_late=is_late,
            )

    def note_answer(self, server: roster.ServerListing, sent_at: float) -> None:
        """Records as evidence that a server answered a request completely."""
        if self._evidence.note_answer(server, sent_at, clock.read_clock()):
            loguru.logger.info(
                "a backend server is readmitted: it answered probes",
                server=server.name,
                born_ms=server.born_ms,
            )

    def note_failure(self, server: roster.ServerListing) -> None:
        """Records as evidence that a server failed a request."""
        if self._evidence.note_failure(server, clock.read_clock()):
            loguru.logger.warning(
                "a backend server is out: its last requests here failed",
                server=server.name,
                born_ms=server.born_ms,
            )

    def note_extra_data(self, incarnation: str) -> None:
        """Counts a late copy of an answer as a failure of its server."""
        for server in self._view.servers.values():
            if server.incarnation == incarnation:
                self.note_failure(server)

    def apply_suspects(self, reply: roster.RosterReply) -> None:
        """Applies the leader's list of servers that failed at several hosts."""
        now = clock.read_clock()
        suspects = reply.suspect_servers
        for name in self._evidence.apply_suspects(reply.source, suspects, now):
            loguru.logger.warning(
                "a backend server is out: it failed at several hosts",
                server=name,
                suspects=len(suspects),
                out=self._evidence.count_out(),
            )

    def note_memories(self, memories: tuple[roster.ServerMemory, ...]) -> None:
        """Records what engines report of their memory."""
        now = clock.read_clock()
        self._choice.memory.remove_old_counts(now)
        for item in memories:
            server = self._view.servers.get(item.server)
            if server is None:
                continue
            model = self._services.make_work_model(server.service)
            if model is not None and server.born_ms == item.born_ms:
                tokens = int(item.used * model.profile.memory_tokens)
                reported_at = now - item.age_ms / 1000
                self._choice.memory.note_engine_count(
                    server.incarnation, tokens, reported_at
                )


def _do_nothing() -> None:
    """Default for ``on_load_changed``, used until a listener is set."""
