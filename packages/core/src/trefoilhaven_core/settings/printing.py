"""Formats settings as JSON.

Settings of a balancer or agent get the form of a settings file. Those of a
gateway or sidecar do not: their seeds become text, while a file has objects.
"""

import json
from typing import Any

from trefoilhaven_core.membership.messages import Address


def json_value(record: Any) -> Any:
    """Return a settings record as plain JSON values.

    Addresses become ``ip:port`` text and records become objects.
    """
    if isinstance(record, Address):
        return f'{record.host}:{record.port}'
    if isinstance(record, tuple) and hasattr(record, '_asdict'):
        return {key: json_value(each) for key, each in record._asdict().items()}
    if isinstance(record, tuple):
        return [json_value(each) for each in record]
    return record


def format_settings(settings: Any) -> str:
    """Return the effective settings, defaults included, as JSON text."""
    return json.dumps(json_value(settings), indent=2)
