"""Failure domains of TCP senders, whose source address names no host.

Outgoing connections carry the loopback's default address. The sender is
found among the processes that the proxy's own runner started, by the
socket that the connection belongs to.
"""

import asyncio
import os
from typing import Any

import psutil

from trefoilhaven_bench.fault_proxy.domains import ANY_DOMAIN


Peer = tuple[str, int]


class SenderIndex:
    """Failure domains of the senders of connections.

    One search finds all connections of the moment. It takes tens of
    milliseconds, so that connections that come in meanwhile share the
    next one.
    """

    def __init__(self, domains: dict[str, str]) -> None:
        """Start empty; ``domains`` maps IP addresses to domains."""
        self._domains = domains
        self._domains_by_peer: dict[Peer, str] = {}
        self._search_lock = asyncio.Lock()

    async def find(self, peer: Peer) -> str:
        """Return the failure domain of a connection's sender.

        It is that of the addresses on which the sending process listens,
        and ``*`` for a process without one, such as a caller.
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
