"""Loopback addresses and free ports of a deployment's hosts."""

import itertools
import os
import socket
from typing import Final

# Range of the second octet of a deployment's addresses. The octet is derived
# from the id of the process that runs the deployment, so that deployments of
# two processes on one machine don't share addresses.
_FIRST_OCTET: Final = 32
_OCTETS: Final = 160
_HOSTS_PER_BLOCK: Final = 250
_ATTEMPTS: Final = 20

_blocks = itertools.count(1)


def free_port(host: str) -> int:
    """Return a port that is free for both UDP and TCP on an IP address.

    Raises ``OSError`` when none is found within the attempts.
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
    raise OSError(f'no port is free for both UDP and TCP on {host}')


class HostAddresses:
    """Allocates a loopback address for each host, and ports on it."""

    def __init__(self) -> None:
        """Choose a prefix that no other deployment of this process uses."""
        block = os.getpid() * 7 + next(_blocks)
        octet = _FIRST_OCTET + block % _OCTETS
        self._prefix = f'127.{octet}'
        self._hosts: dict[str, str] = {}
        self._used: set[tuple[str, int]] = set()

    def host(self, name: str) -> str:
        """Return the IP address of a host, which does not change."""
        if name not in self._hosts:
            number = len(self._hosts)
            third = 1 + number // _HOSTS_PER_BLOCK
            fourth = 1 + number % _HOSTS_PER_BLOCK
            self._hosts[name] = f'{self._prefix}.{third}.{fourth}'
        return self._hosts[name]

    def endpoint(self, name: str) -> str:
        """Return a free ``ip:port`` on a host that was not returned before."""
        address = self.host(name)
        port = free_port(address)
        while (address, port) in self._used:
            port = free_port(address)
        self._used.add((address, port))
        return f'{address}:{port}'
