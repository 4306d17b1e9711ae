"""Settings of links and the state of the emulated network."""

import random
from typing import NamedTuple

from trefoilhaven_bench.fault_proxy.domains import ANY_DOMAIN
from trefoilhaven_bench.fault_proxy.senders import SenderIndex
from trefoilhaven_bench.settings import CLIENT_DELAY_S


class Link(NamedTuple):
    """A listening address, its destination and its faults.

    ``protocol`` is ``udp`` or ``tcp``. Delays are one-way, in seconds; with a
    negative ``delay_s`` the delay of the pair of failure domains applies.
    ``loss``, ``duplication`` and ``reordering`` are probabilities for each
    datagram. With a ``from_domain`` of ``*`` the sender's IP address
    determines its failure domain.
    """

    name: str
    protocol: str
    listen: str
    forward: str
    from_domain: str = ANY_DOMAIN
    to_domain: str = ANY_DOMAIN
    delay_s: float = -1
    jitter_s: float = 0
    loss: float = 0
    duplication: float = 0
    reordering: float = 0
    cut: bool = False


class ProxySettings(NamedTuple):
    """Settings of the proxy.

    ``domains`` maps IP addresses to failure domains; ``domain_delay_s`` is
    the delay between two different ones. Senders outside all domains are
    clients, with the delay ``client_delay_s``. Delays are in seconds.
    """

    control: str
    links: tuple[Link, ...] = ()
    domains: dict[str, str] = {}
    domain_delay_s: float = 0
    client_delay_s: float = CLIENT_DELAY_S
    seed: int = 1


class Network:
    """State of all links and of the pairs of failure domains."""

    def __init__(self, cfg: ProxySettings) -> None:
        """Start without cut pairs."""
        self.links = {link.name: link for link in cfg.links}
        self.random = random.Random(cfg.seed)
        self.senders = SenderIndex(cfg.domains)
        self.domains = cfg.domains
        self._cfg = cfg
        self._cuts: set[frozenset[str]] = set()

    def replace_link(self, link: Link) -> None:
        """Add a link or replace its settings."""
        self.links[link.name] = link

    def set_cut(self, one: str, other: str, *, cut: bool) -> None:
        """Cut or heal a pair of failure domains; ``*`` means all others."""
        pair = frozenset((one, other))
        if cut:
            self._cuts.add(pair)
        else:
            self._cuts.discard(pair)

    def cuts(self) -> list[list[str]]:
        """Return the pairs that are cut, sorted."""
        return sorted(sorted(pair) for pair in self._cuts)

    def source_domain(self, link: Link, host: str) -> str:
        """Return the failure domain of a sender, or ``*`` if it is unknown."""
        if link.from_domain != ANY_DOMAIN:
            return link.from_domain
        return self.domains.get(host, ANY_DOMAIN)

    def is_cut(self, link: Link, source: str) -> bool:
        """Return whether traffic of a sender's domain is cut on a link."""
        pairs = [frozenset((source, link.to_domain))]
        if source != link.to_domain:
            pairs.append(frozenset((source, ANY_DOMAIN)))
            pairs.append(frozenset((link.to_domain, ANY_DOMAIN)))
        return link.cut or any(pair in self._cuts for pair in pairs)

    def delay(self, link: Link, source: str) -> float:
        """Choose the delay of a datagram or block in seconds, with jitter."""
        delay_s = link.delay_s
        if delay_s < 0:
            delay_s = self._pair_delay(link, source)
        if link.jitter_s:
            delay_s += self.random.random() * link.jitter_s
        return delay_s

    def draw(self, share: float) -> bool:
        """Return True with the given probability."""
        return share > 0 and self.random.random() < share

    def _pair_delay(self, link: Link, source: str) -> float:
        if source == link.to_domain and source != ANY_DOMAIN:
            return 0
        if source == ANY_DOMAIN:
            return self._cfg.client_delay_s
        return self._cfg.domain_delay_s
