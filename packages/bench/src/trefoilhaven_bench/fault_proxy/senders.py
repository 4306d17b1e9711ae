"""Failure domains of TCP senders.

The source address does not identify the sending host, since outgoing
connections have the default loopback address. The sender is the process that
owns the connection's socket, among those started by the proxy's parent.
"""

import asyncio
import os
from typing import Any

import psutil

from trefoilhaven_bench.fault_proxy.domains import ANY_DOMAIN


Peer = tuple[str, int]


class SenderIndex:
    """Finds the failure domains of the senders of connections.

    One search finds all current connections. It takes tens of milliseconds,
    so lookups of new connections during a search share the next search.
    """

    def __init__(self, domains: dict[str, str]) -> None:
        """Take the map of IP addresses to failure domains."""
        self._domains = domains
        self._domains_by_peer: dict[Peer, str] = {}
        self._search_lock = asyncio.Lock()

    async def find(self, peer: Peer) -> str:
        """Return the failure domain of a connection's sender.

        It is the domain of an address on which the sending process listens,
        or ``*`` for a process without one, such as a caller.
        """
        async with self._search_lock:
            if peer not in self._domains_by_peer:
                self._domains_by_peer = await asyncio.to_thread(
                    _find_all,
                    self._domains,
                )
        return self._domains_by_peer.get(peer, ANY_DOMAIN)


def _find_all(domains: dict[str, str]) -> dict[Peer, str]:
    found: dict[Peer, str] = {}
    for process in psutil.Process(os.getppid()).children():
        try:
            sockets = process.net_connections('tcp4')
        except psutil.Error:
            continue
        domain = _listening_domain(sockets, domains)
        for known in sockets:
            found[tuple(known.laddr)] = domain
    return found


def _listening_domain(sockets: list[Any], domains: dict[str, str]) -> str:
    for found in sockets:
        if found.status == psutil.CONN_LISTEN and found.laddr.ip in domains:
            return domains[found.laddr.ip]
    return ANY_DOMAIN
