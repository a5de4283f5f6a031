"""The replicated routing state: route table, zones out, departures.

The route table with the highest version is in effect. A table whose version is not
higher changes nothing but is still accepted, so that a resend and a superseded
table get a final outcome.

Departures are replicated because a leader may fail right after it acknowledged
one, and its in-memory state is lost with it.
"""

import collections
import typing

from lycheegauge.internal.protocol import changes, codec, roster
from lycheegauge.internal.state import machine

MAX_DEPARTURES = 512
"""Oldest departures are evicted first; a leaving server exits within a minute."""


@machine.register_part(
    "routing", changes.PutRouteTable, changes.SetZoneOut, changes.NoteDeparture
)
class RoutingPart:
    """Applies the changes of the routing state.

    Attributes:
        revision: The number of changes that had an effect.
        restrictions_revision: The revision that last changed ``restrictions``.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.table: roster.RouteDocument | None = None
        self.restrictions = roster.Restrictions(0)
        self._zones_out: set[str] = set()
        self._zone_versions: dict[str, int] = {}
        self._departures: collections.OrderedDict[roster.Departure, None] = (
            collections.OrderedDict()
        )

    def apply(self, change: changes.Change) -> changes.Outcome:
        """Applies one committed change."""
        status = changes.ChangeStatus.ACCEPTED
        match change:
            case changes.PutRouteTable():
                self._put_table(change)
            case changes.SetZoneOut():
                if not self._set_zone(change):
                    status = changes.ChangeStatus.CONFLICT
            case changes.NoteDeparture():
                self._note_departure(change)
            case _:
                raise TypeError(f"{type(change).__name__} is not a routing change")
        return changes.RoutingOutcome(status, self.revision)

    def get_zone_version(self, availability_zone: str) -> int:
        """Returns the version of a zone, which each accepted change increments."""
        return self._zone_versions.get(availability_zone, 1)

    def has_departed(self, departure: roster.Departure) -> bool:
        """Tells whether an incarnation of a backend server has departed."""
        return departure in self._departures

    def dump(self) -> bytes:
        """Returns the serialized state of the part for a snapshot."""
        return codec.pack(
            roster.RoutingState(
                self.revision,
                self.table,
                tuple(sorted(self._zones_out)),
                tuple(self._departures),
                tuple(
                    roster.ZoneVersion(*item)
                    for item in sorted(self._zone_versions.items())
                ),
            )
        )

    def load(self, body: bytes) -> None:
        """Replaces the state of the part with one that ``dump`` returned.

        Raises:
            errors.BorderError: The bytes are not a routing state.
        """
        state = typing.cast(roster.RoutingState, codec.unpack(body))
        self.revision = state.revision
        self.table = state.table
        self._zones_out = set(state.zones_out)
        self._departures = collections.OrderedDict.fromkeys(state.departures)
        self._zone_versions = {
            item.availability_zone: item.version for item in state.zone_versions
        }
        self._publish_restrictions()

    def _put_table(self, change: changes.PutRouteTable) -> None:
        if self.table is None or change.version > self.table.version:
            self.table = roster.RouteDocument(change.version, change.document)
            self.revision += 1

    def _set_zone(self, change: changes.SetZoneOut) -> bool:
        """Sets the state of a zone; returns whether the change is accepted."""
        zone = change.availability_zone
        version = self.get_zone_version(zone)
        if change.zone_version not in (0, version):
            return False
        # A change that leaves the zone as it is also makes older ones void.
        self._zone_versions[zone] = version + 1
        if change.out == (zone in self._zones_out):
            return True
        if change.out:
            self._zones_out.add(zone)
        else:
            self._zones_out.discard(zone)
        self.revision += 1
        self._publish_restrictions()
        return True

    def _note_departure(self, change: changes.NoteDeparture) -> None:
        departure = roster.Departure(change.server, change.born_ms, change.before_ms)
        if departure in self._departures:
            return
        self._departures[departure] = None
        while len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)
        self.revision += 1
        self._publish_restrictions()

    def _publish_restrictions(self) -> None:
        self.restrictions = roster.Restrictions(
            self.revision, tuple(sorted(self._zones_out)), tuple(self._departures)
        )
