"""Exit codes of all commands."""

from enum import IntEnum
from typing import Final


class ExitCode(IntEnum):
    """Exit code of a command; ``docs/operate/commands.md`` lists them."""

    ok = 0
    refused = 1
    usage = 2
    conflict = 3
    unreachable = 4
    unknown = 5


# Most severe first. A command with several outcomes exits with the most
# severe of their codes.
_SEVERITY_ORDER: Final = (
    ExitCode.unknown,
    ExitCode.conflict,
    ExitCode.unreachable,
    ExitCode.refused,
    ExitCode.ok,
)


def most_severe(codes: list[ExitCode]) -> ExitCode:
    """Return the most severe code, or ``ok`` without any."""
    return min(codes, key=_SEVERITY_ORDER.index, default=ExitCode.ok)
