"""Free loopback addresses for the tests of the stand-ins."""

from trefoilhaven_bench.deployments.addresses import free_port


def free_addresses(count: int) -> list[str]:
    """Return free addresses as ``ip:port``."""
    return [f'127.0.0.1:{free_port("127.0.0.1")}' for _ in range(count)]
