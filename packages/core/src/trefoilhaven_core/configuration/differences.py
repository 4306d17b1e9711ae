"""Differences between two versions of a service file."""

import difflib
import json
from typing import Any


def compare_files(
    theirs: Any,
    ours: Any,
    their_name: str,
    our_name: str,
) -> str:
    """Return the unified diff of two service files."""
    return '\n'.join(
        difflib.unified_diff(
            _lines(theirs),
            _lines(ours),
            their_name,
            our_name,
            lineterm='',
        ),
    )


def _lines(content: Any) -> list[str]:
    if content is None:
        return []
    return json.dumps(content, indent=2, sort_keys=True).splitlines()
