"""Field tables, which define the content of settings and service files.

The reader, the published JSON Schema and the defaults of a kind of file
are derived from one table, so that they can't diverge.
"""

from enum import Enum
from typing import Any, NamedTuple


class FieldKind(Enum):
    """Type of a field's value."""

    name = 'name'
    address = 'address'
    url = 'url'
    integer = 'integer'
    number = 'number'
    boolean = 'boolean'
    choice = 'choice'
    names = 'names'
    section = 'section'
    sections = 'sections'


class Field(NamedTuple):
    """One key of a JSON object.

    A field without a default is required, unless it is ``optional``; an
    optional field that a file omits is missing from the result. ``fields``
    describes the object of a section, or each object of a list of
    sections. Bounds are inclusive and apply to the length of a list.
    """

    key: str
    kind: FieldKind
    description: str
    default: Any = None
    optional: bool = False
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    fields: 'tuple[Field, ...]' = ()

    @property
    def required(self) -> bool:
        """Whether a file must contain the key."""
        return self.default is None and not self.optional


FieldTable = tuple[Field, ...]
