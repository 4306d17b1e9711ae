"""Text form of connections in logs and events."""

from functools import lru_cache
from typing import Final

from trefoilhaven_core.connections.messages import ConnectionKey

# Limit of the cached texts of client and service hosts; an agent needs the
# text as the address of each segment that it sends.
CACHED_HOSTS: Final = 4096


@lru_cache(maxsize=CACHED_HOSTS)
def host_text(host: int) -> str:
    """Return the dotted form of an IPv4 address given as an integer."""
    return '.'.join(str(part) for part in host.to_bytes(4, 'big'))


def connection_text(key: ConnectionKey) -> str:
    """Return a connection as ``client>service``, each ``ip:port``.

    Logs use it in place of a request id, which is part of the connection's
    payload and not read by the system.
    """
    client = f'{host_text(key.client_host)}:{key.client_port}'
    service = f'{host_text(key.service_host)}:{key.service_port}'
    return f'{client}>{service}'
