"""Settings of links and the failure domains between them."""

import random
from typing import NamedTuple

from trefoilhaven_bench.fault_proxy.domains import ANY_DOMAIN
from trefoilhaven_bench.fault_proxy.senders import SenderIndex
from trefoilhaven_bench.settings import CLIENT_DELAY_S


class Link(NamedTuple):
    """One listening address and where its traffic goes.

    ``protocol`` is ``udp`` or ``tcp``. Delays are one way in seconds; a
    negative ``delay_s`` takes that of the pair of failure domains. The
    other shares are probabilities for each datagram. A ``from_domain`` of
    ``*`` is found out by the sender's IP address.
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

    ``domains`` maps IP addresses to failure domains and ``domain_delay_s``
    is the delay between two different ones. Senders outside all domains
    count as clients.
    """

    control: str
    links: tuple[Link, ...] = ()
    domains: dict[str, str] = {}
    domain_delay_s: float = 0
    client_delay_s: float = CLIENT_DELAY_S
    seed: int = 1


class Network:
    """Present state of all links and of the pairs of failure domains."""

    def __init__(self, cfg: ProxySettings) -> None:
        """Start with every pair connected."""
        self.links = {link.name: link for link in cfg.links}
        self.random = random.Random(cfg.seed)
        self.senders = SenderIndex(cfg.domains)
        self.domains = cfg.domains
        self._cfg = cfg
        self._cuts: set[frozenset[str]] = set()

    def replace_link(self, link: Link) -> None:
        """Put changed values of a link in force."""
        self.links[link.name] = link

    def set_cut(self, one: str, other: str, *, cut: bool) -> None:
        """Cut or heal a pair of failure domains; ``*`` means all others."""
        pair = frozenset((one, other))
        if cut:
            self._cuts.add(pair)
        else:
            self._cuts.discard(pair)

    def cuts(self) -> list[list[str]]:
        """Return the pairs that are cut."""
        return sorted(sorted(pair) for pair in self._cuts)

    def source_domain(self, link: Link, host: str) -> str:
        """Return the failure domain of a sender, ``*`` when unknown."""
        if link.from_domain != ANY_DOMAIN:
            return link.from_domain
        return self.domains.get(host, ANY_DOMAIN)

    def is_cut(self, link: Link, source: str) -> bool:
        """Say whether a sender's traffic is blocked on a link."""
        pairs = [frozenset((source, link.to_domain))]
        if source != link.to_domain:
            pairs.append(frozenset((source, ANY_DOMAIN)))
            pairs.append(frozenset((link.to_domain, ANY_DOMAIN)))
        return link.cut or any(pair in self._cuts for pair in pairs)

    def delay(self, link: Link, source: str) -> float:
        """Draw the delay of one datagram or block in seconds."""
        delay_s = link.delay_s
        if delay_s < 0:
            delay_s = self._pair_delay(link, source)
        if link.jitter_s:
            delay_s += self.random.random() * link.jitter_s
        return delay_s

    def draw(self, share: float) -> bool:
        """Draw whether an event of the given probability happens."""
        return share > 0 and self.random.random() < share

    def _pair_delay(self, link: Link, source: str) -> float:
        if source == link.to_domain and source != ANY_DOMAIN:
            return 0
        if source == ANY_DOMAIN:
            return self._cfg.client_delay_s
        return self._cfg.domain_delay_s
