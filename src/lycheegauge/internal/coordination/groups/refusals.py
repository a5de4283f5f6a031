"""Errors with which a rank's agent refuses a step, a map or an order."""

from lycheegauge import errors


class EpochUnknownError(errors.LycheegaugeError):
    """The agent restarted and does not know the current epoch yet; retry soon."""


class StaleEpochError(errors.LycheegaugeError):
    """The message has an older epoch; its sender is no longer the coordinator."""


class NoPermitError(errors.LycheegaugeError):
    """No permit covers the step; wait for the coordinator's next offer."""


class MapNotLoadedError(errors.LycheegaugeError):
    """The step's map version is not loaded yet; wait for its weights."""


class NoRoomError(errors.LycheegaugeError):
    """The rank has not enough memory for the weights; drop a replica first."""
