"""Connections as text in logs and events."""

from functools import lru_cache
from typing import Final

from trefoilhaven_core.connections.messages import ConnectionKey

# Hosts of clients and services whose text is kept; an agent writes it in
# the address of each segment that it sends.
CACHED_HOSTS: Final = 4096


@lru_cache(maxsize=CACHED_HOSTS)
def host_text(host: int) -> str:
    """Return an IPv4 address given as a number in dotted form."""
    return '.'.join(str(part) for part in host.to_bytes(4, 'big'))


def connection_text(key: ConnectionKey) -> str:
    """Return a connection as ``client>service``, each ``ip:port``.

    It stands for the request's id, which is inside the connection's bytes
    and not the system's to read.
    """
    client = f'{host_text(key.client_host)}:{key.client_port}'
    service = f'{host_text(key.service_host)}:{key.service_port}'
    return f'{client}>{service}'
