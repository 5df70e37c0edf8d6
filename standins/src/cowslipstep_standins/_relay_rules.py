"""What passes on the links between processes, as set by tests."""

from __future__ import annotations

import collections
from typing import Any

import eventlet
from attrs import frozen
from eventlet.event import Event


@frozen
class Link:
    """One direction between two processes."""

    source: str
    target: str

    def __str__(self) -> str:
        return f'{self.source}>{self.target}'


@frozen
class Passing:
    """Bytes pass."""


@frozen
class Slowed:
    """Each piece is held for a while."""

    delay_s: float


@frozen
class Withheld:
    """Nothing arrives and no connection ends until the link is healed.

    TCP then delivers what it has kept, so that late bytes arrive as well.
    """


@frozen
class Severed:
    """Connections are closed, and new ones at once."""


Rule = Passing | Slowed | Withheld | Severed


class LinkRules:
    """Rules by link, and the bytes that passed on each."""

    def __init__(self) -> None:
        self._rules: dict[Link, Rule] = {}
        self._passed: collections.Counter[str] = collections.Counter()
        self._changed = Event()

    @property
    def passed(self) -> dict[str, int]:
        """Bytes that passed, by link."""
        return dict(self._passed)

    def rule(self, link: Link) -> Rule:
        """Return the rule of a link."""
        return self._rules.get(link, Passing())

    def replace(self, document: Any) -> None:
        """Replace all rules by those of a JSON document."""
        self._rules = {
            Link(entry['source'], entry['target']): _rule(entry)
            for entry in document
        }
        changed = self._changed
        self._changed = Event()
        changed.send(None)

    def wait_change(self) -> None:
        """Wait until the rules are replaced."""
        self._changed.wait()

    def admit(self, link: Link, size_bytes: int) -> None:
        """Wait until bytes may pass.

        Raises
        ------
        ConnectionAbortedError
            If the link is severed.
        """
        while True:
            match self.rule(link):
                case Withheld():
                    self.wait_change()
                    continue
                case Severed():
                    raise ConnectionAbortedError(str(link))
                case Slowed(delay_s):
                    eventlet.sleep(delay_s)
            self._passed[str(link)] += size_bytes
            return


def _rule(entry: Any) -> Rule:
    match entry['rule']:
        case 'slowed':
            return Slowed(entry['delay_s'])
        case 'withheld':
            return Withheld()
        case 'severed':
            return Severed()
    raise ValueError(entry['rule'])
