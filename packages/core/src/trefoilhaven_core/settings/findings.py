"""Findings: errors in settings and service files, with their location.

All errors of a file are collected and reported together, so that an
operator can correct them at once.
"""

from typing import NamedTuple


class Finding(NamedTuple):
    """One error in a file.

    ``line`` counts from 1 and is 0 when the error has no line, for
    example when the file can't be read. ``path`` is a JSON path such as
    ``$.seeds[1].control``.
    """

    file: str
    line: int
    path: str
    message: str

    def __str__(self) -> str:
        """Return the finding as one line of text."""
        location = f'{self.file}:{self.line}' if self.line else self.file
        return f'{location}: {self.path}: {self.message}'


Findings = tuple[Finding, ...]


def format_findings(findings: Findings) -> str:
    """Return all findings as text, one per line, sorted by location."""
    return '\n'.join(str(finding) for finding in sorted(findings))
