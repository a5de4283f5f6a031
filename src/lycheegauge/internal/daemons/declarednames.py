"""The names of the services that the route table in force declares."""

import zlib

from returns import result

from lycheegauge.internal.protocol import controlcalls, roster


class DeclaredNames:
    """Remembers the declared services of the newest route table.

    Args:
        dialect: The dialect in which route tables are written.
    """

    def __init__(self, dialect: controlcalls.Dialect) -> None:
        self._dialect = dialect
        self._version = -1
        self._names: frozenset[str] | None = None

    def contain(self, service: str, table: roster.RouteDocument | None) -> bool:
        """Tells whether a service is declared; all are as long as there is no table."""
        if table is None:
            return True
        if table.version != self._version:
            self._version = table.version
            self._names = self._read_names(table)
        return self._names is None or service in self._names

    def _read_names(self, table: roster.RouteDocument) -> frozenset[str] | None:
        parsed = self._dialect.parse_table(zlib.decompress(table.body))
        if isinstance(parsed, result.Failure):
            return None
        return frozenset(item.name for item in parsed.unwrap().services)
