"""Types and paths of stored service configuration."""

from typing import Any, NamedTuple, TypedDict

from trefoilhaven_core.settings.types import ServiceConfiguration

# Path prefix of the platform objects that hold service configuration.
SERVICES_PREFIX = 'services/'


class ServiceContent(TypedDict):
    """Content of a platform object ``services/<name>``.

    ``publish_id`` is unique to one run of the publisher, which recognizes its
    own write by it; ``publisher`` is the publisher's name. ``base_version`` is
    the version that the publisher had seen.
    ``address_since`` is the Unix time in seconds at which the service was
    first published with its address.
    """

    publish_id: str
    publisher: str
    base_version: int
    address_since: float
    file: dict[str, Any]


class ServiceVersion(NamedTuple):
    """A version of a service's configuration that a process holds."""

    service: str
    version: int
    content: dict[str, Any]
    configuration: ServiceConfiguration


def object_path(service: str) -> str:
    """Return the path of a service's platform object."""
    return f'{SERVICES_PREFIX}{service}'
