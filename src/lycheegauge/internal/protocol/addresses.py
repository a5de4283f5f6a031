"""Addresses and names that backend servers announce.

They come from outside: whatever can't be connected to or sent in a header is refused
where the announcement is read, as one such entry would fail every request that is sent
there.
"""

import ipaddress
import re
import typing

import pydantic

PORT_MAX = 65535
HOST_NAME_MAX_LENGTH = 253

_PORT = re.compile(r"[1-9][0-9]{0,4}")
_LABEL = r"[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
_HOST_NAME = re.compile(rf"(?:{_LABEL}\.)*{_LABEL}")
_SERVER_NAME = re.compile(r"[\x21-\x7e\xa1-\xff]{1,256}")


def is_valid_address(address: str) -> bool:
    """Tells whether an address is an IP number or host name with a port."""
    host, _, port = address.rpartition(":")
    if not _PORT.fullmatch(port) or int(port) > PORT_MAX:
        return False
    if ":" in host or host.rpartition(".")[2].isdigit():
        try:
            ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        except ValueError:
            return False
        return True
    return len(host) <= HOST_NAME_MAX_LENGTH and bool(_HOST_NAME.fullmatch(host))


def is_valid_name(name: str) -> bool:
    """Tells whether a server's name can be sent in a header."""
    return bool(_SERVER_NAME.fullmatch(name))


def _check_address(address: str) -> str:
    if not is_valid_address(address):
        raise ValueError(
            "must be an IP number or host name with a port from 1 to 65535"
        )
    return address


ServerAddress = typing.Annotated[str, pydantic.AfterValidator(_check_address)]
