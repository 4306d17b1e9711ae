"""Exit codes of all commands."""

from enum import IntEnum
from typing import Final


class ExitCode(IntEnum):
    """How a command ended; ``docs/operate/commands.md`` lists them."""

    ok = 0
    refused = 1
    usage = 2
    conflict = 3
    unreachable = 4
    unknown = 5


# Most pressing first: the code of a command that ended in several ways.
_SEVERITY_ORDER: Final = (
    ExitCode.unknown,
    ExitCode.conflict,
    ExitCode.unreachable,
    ExitCode.refused,
    ExitCode.ok,
)


def most_severe(codes: list[ExitCode]) -> ExitCode:
    """Return the code that an operator must look at first."""
    return min(codes, key=_SEVERITY_ORDER.index, default=ExitCode.ok)
