"""Public exceptions. Each message names the failure and, if there is one, a remedy."""

import dataclasses


@dataclasses.dataclass(eq=False)
class LycheegaugeError(Exception):
    """Base class of all errors of this library.

    Attributes:
        message: The failure, its cause and, if there is one, a remedy.
        step: The step that failed, such as ``"replicate"``.
        peer: The process or address involved; empty if there is none.
    """

    message: str
    step: str = ""
    peer: str = ""

    def __str__(self) -> str:
        """Returns the message with step and peer."""
        context = [part for part in (self.step, self.peer) if part]
        return f"{self.message} [{' at '.join(context)}]" if context else self.message


class SettingsError(LycheegaugeError):
    """Invalid settings; the message names the file, the key and what is allowed."""


class BorderError(LycheegaugeError):
    """A caller, operator or backend server sent malformed input."""


class JournalDamagedError(LycheegaugeError):
    """A journal file is corrupt before its tail; the host must be replaced."""


class StorageFailedError(LycheegaugeError):
    """The data folder can't be written; no further write is acknowledged."""


class NotLeaderError(LycheegaugeError):
    """The replica is not the leader; retry at the peer that the error names."""


class LeadershipLostError(LycheegaugeError):
    """Leadership ended before the outcome was known; resend with the same id."""


class LogUnavailableError(LycheegaugeError):
    """No quorum of voters is reachable; retry later."""


class PlanConflictError(LycheegaugeError):
    """The plan's base revision is no longer current; review the new plan."""


class IntentRefusedError(LycheegaugeError):
    """The intent would violate a guarantee; the message says which and why."""


class RequestIdReusedError(LycheegaugeError):
    """A request id was reused with different content; choose a new id."""


class PeerUnreachableError(LycheegaugeError):
    """A process of the system did not answer in time."""


@dataclasses.dataclass(eq=False)
class BackendServerFailedError(LycheegaugeError):
    """The backend server closed the connection or answered with an error.

    Attributes:
        reached: Whether it may have received any byte of the request.
    """

    reached: bool = True
