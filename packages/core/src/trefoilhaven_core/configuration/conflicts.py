"""Address conflicts between service files and published services."""

from collections.abc import Iterable, Iterator

from trefoilhaven_core.configuration.files import ServiceFile
from trefoilhaven_core.configuration.messages import SERVICES_PREFIX
from trefoilhaven_core.configuration.versions import check_content
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.platform.clients import PlatformObject
from trefoilhaven_core.settings.documents import read_document
from trefoilhaven_core.settings.findings import Finding, Findings


def find_address_conflicts(
    files: Iterable[ServiceFile],
    published: Iterable[PlatformObject],
) -> Findings:
    """Return a finding for each file whose address another service has.

    For a service among the files the address in its file counts, not the
    published one.
    """
    listing = list(files)
    own = {each.configuration.service for each in listing}
    taken = {
        address: service
        for service, address in _published_addresses(published)
        if service not in own
    }
    return tuple(
        _finding(each, taken[each.configuration.address])
        for each in listing
        if each.configuration.address in taken
    )


def _published_addresses(
    published: Iterable[PlatformObject],
) -> Iterator[tuple[str, Address]]:
    for each in published:
        service = each.path.removeprefix(SERVICES_PREFIX)
        checked = check_content(service, each.content)
        if checked.is_ok():
            yield service, checked.ok.address


def _finding(each: ServiceFile, holder: str) -> Finding:
    message = f'the published service {holder} has this address'
    document = read_document(each.path)
    if document.is_error():
        return Finding(str(each.path), 0, '$.address', message)
    return document.ok.finding('$.address', message)
