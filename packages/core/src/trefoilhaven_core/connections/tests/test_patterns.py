"""How clients use their connections."""

from trefoilhaven_core.connections.patterns import (
    HALVED_AT,
    ConnectionPattern,
)


def count(pattern: ConnectionPattern, openings: int, requests: int) -> None:
    """Note connections with so many requests each."""
    for _ in range(openings):
        pattern.on_opening()
        for _ in range(requests):
            pattern.on_request()


class TestConnectionPattern:
    """Long connections and those for one request."""

    def test_one_each(self) -> None:
        """Guards against short work that is placed by connections."""
        pattern = ConnectionPattern()
        count(pattern, 20, 1)
        assert not pattern.is_long

    def test_many(self) -> None:
        """Guards against sessions that pile up on one target."""
        pattern = ConnectionPattern()
        count(pattern, 20, 30)
        assert pattern.is_long

    def test_change(self) -> None:
        """Guards against clients that changed and are not noticed."""
        pattern = ConnectionPattern()
        count(pattern, 100, 10)
        count(pattern, 4 * HALVED_AT, 1)
        assert not pattern.is_long
