"""Failure domains of TCP senders, whose source address names no host.

Outgoing connections carry the loopback's default address. The sender is
found among the processes that the proxy's own runner started, by the
socket that the connection belongs to.
"""

import os
from typing import Any

import psutil

from trefoilhaven_bench.fault_proxy.links import ANY_DOMAIN


def find_domain(peer: tuple[str, int], domains: dict[str, str]) -> str:
    """Return the failure domain of a connection's sender.

    It is that of the addresses on which the sending process listens, and
    ``*`` for a process without one, such as a caller.
    """
    for process in psutil.Process(os.getppid()).children():
        try:
            sockets = process.net_connections('tcp4')
        except psutil.Error:
            continue
        if any(found.laddr == peer for found in sockets):
            return _listening_domain(sockets, domains)
    return ANY_DOMAIN


def _listening_domain(sockets: list[Any], domains: dict[str, str]) -> str:
    for found in sockets:
        if found.status == psutil.CONN_LISTEN and found.laddr.ip in domains:
            return domains[found.laddr.ip]
    return ANY_DOMAIN
