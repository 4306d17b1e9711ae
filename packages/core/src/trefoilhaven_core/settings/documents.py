"""Parses JSON files and keeps the line number of each value."""

import json
import re
from pathlib import Path
from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from trefoilhaven_core.settings.findings import Finding, Findings

_TOKEN: Final = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\]:,]|[^\s{}\[\]:,"]+')
_ROOT: Final = '$'


class Document(NamedTuple):
    """A parsed JSON file; ``lines`` maps JSON paths to line numbers."""

    file: str
    content: Any
    lines: dict[str, int]

    def finding(self, path: str, message: str) -> Finding:
        """Return a finding for a path.

        Its line is that of the path, or of the nearest parent in the file.
        """
        located = path
        while located not in self.lines and located != _ROOT:
            located = located[: max(located.rfind('.'), located.rfind('['), 1)]
        return Finding(self.file, self.lines.get(located, 1), path, message)


def read_document(path: Path) -> Result[Document, Findings]:
    """Read and parse a JSON file."""
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as exc:
        reason = exc.strerror or str(exc)
        return _single_finding(
            str(path), 0, f'the file cannot be read: {reason}'
        )
    except UnicodeDecodeError as exc:
        return _single_finding(
            str(path), 0, f'the file is not UTF-8: {exc.reason}'
        )
    return parse_document(str(path), text)


def parse_document(file: str, text: str) -> Result[Document, Findings]:
    """Parse JSON text; a duplicate key is an error."""
    try:
        content = json.loads(text, parse_constant=_refuse_constant)
    except json.JSONDecodeError as exc:
        return _single_finding(file, exc.lineno, f'not valid JSON: {exc.msg}')
    except (ValueError, RecursionError) as exc:
        return _single_finding(file, 1, f'not valid JSON: {exc}')
    indexer = _LineIndexer()
    indexer.run(text)
    if indexer.duplicate_keys:
        return Error(
            tuple(
                Finding(file, line, path, 'the key occurs twice')
                for path, line in indexer.duplicate_keys
            ),
        )
    return Ok(Document(file, content, indexer.lines))


def join_path(parent: str, key: str) -> str:
    """Return the JSON path of a key, quoted unless it is a plain word."""
    if re.fullmatch(r'\w+', key):
        return f'{parent}.{key}'
    return f'{parent}[{json.dumps(key, ensure_ascii=False)}]'


def _refuse_constant(name: str) -> None:
    raise ValueError(f'{name} is not a JSON value')


def _single_finding(
    file: str,
    line: int,
    message: str,
) -> Result[Document, Findings]:
    return Error((Finding(file, line, _ROOT, message),))


class _Container:
    """An object or array that is still open."""

    def __init__(self, path: str, *, is_object: bool) -> None:
        self.path = path
        self.is_object = is_object
        self.index = 0
        self.key: str | None = None

    def child(self) -> str:
        """Return the path of the next value."""
        if self.is_object:
            return join_path(self.path, self.key or '')
        return f'{self.path}[{self.index}]'


class _LineIndexer:
    """Maps JSON paths to line numbers in text that is valid JSON."""

    def __init__(self) -> None:
        self.lines: dict[str, int] = {}
        self.duplicate_keys: list[tuple[str, int]] = []
        self._containers: list[_Container] = []

    def run(self, text: str) -> None:
        """Record the line numbers of all values of the text."""
        line = 1
        counted_to = 0
        for match in _TOKEN.finditer(text):
            line += text.count('\n', counted_to, match.start())
            counted_to = match.start()
            self._on_token(match.group(), line)

    def _on_token(self, token: str, line: int) -> None:
        container = self._containers[-1] if self._containers else None
        if token in {'}', ']'}:
            self._containers.pop()
        elif token == ',' and container is not None:
            container.index += 1
            container.key = None
        elif token == ':':
            return
        elif (
            container is not None
            and container.is_object
            and container.key is None
        ):
            container.key = json.loads(token)
            self._record(container.child(), line)
        else:
            self._on_value(token, line, container)

    def _on_value(
        self, token: str, line: int, container: _Container | None
    ) -> None:
        path = _ROOT if container is None else container.child()
        if container is None or not container.is_object:
            self._record(path, line)
        if token in {'{', '['}:
            self._containers.append(_Container(path, is_object=token == '{'))

    def _record(self, path: str, line: int) -> None:
        if path in self.lines:
            self.duplicate_keys.append((path, line))
        self.lines[path] = line
