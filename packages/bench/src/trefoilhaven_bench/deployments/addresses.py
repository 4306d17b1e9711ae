"""Loopback addresses and free ports of a deployment's hosts."""

import itertools
import os
import socket
from typing import Final

# Second octets for deployments; each process that runs deployments takes
# its own by its id, so that two of them on one machine don't meet.
_FIRST_OCTET: Final = 32
_OCTETS: Final = 160
_HOSTS_PER_BLOCK: Final = 250
_ATTEMPTS: Final = 20

_blocks = itertools.count(1)


def free_port(host: str) -> int:
    """Return a port that is free for UDP and TCP at an IP address.

    Raises ``OSError`` when none is found in several attempts.
    """
    for _ in range(_ATTEMPTS):
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
        ):
            stream.bind((host, 0))
            port = stream.getsockname()[1]
            try:
                datagrams.bind((host, port))
            except OSError:
                continue
            return port
    raise OSError(f'no free port at {host}')


class HostAddresses:
    """Hands out one IP address for each host, and free ports on it."""

    def __init__(self) -> None:
        """Take a block of addresses that no other deployment here uses."""
        block = os.getpid() * 7 + next(_blocks)
        octet = _FIRST_OCTET + block % _OCTETS
        self._prefix = f'127.{octet}'
        self._hosts: dict[str, str] = {}
        self._used: set[tuple[str, int]] = set()

    def host(self, name: str) -> str:
        """Return the IP address of a host, the same one each time."""
        if name not in self._hosts:
            number = len(self._hosts)
            third = 1 + number // _HOSTS_PER_BLOCK
            fourth = 1 + number % _HOSTS_PER_BLOCK
            self._hosts[name] = f'{self._prefix}.{third}.{fourth}'
        return self._hosts[name]

    def endpoint(self, name: str) -> str:
        """Return a free ``ip:port`` on a host, never the same one twice."""
        address = self.host(name)
        port = free_port(address)
        while (address, port) in self._used:
            port = free_port(address)
        self._used.add((address, port))
        return f'{address}:{port}'
