"""Rules for the bytes on links between processes, set by tests."""

from __future__ import annotations

import collections
from typing import Any

import eventlet
from attrs import frozen
from eventlet.event import Event


@frozen
class Link:
    """One direction of the traffic between two processes."""

    source: str
    target: str

    def __str__(self) -> str:
        return f'{self.source}>{self.target}'


@frozen
class Unrestricted:
    """Bytes are forwarded at once."""


@frozen
class Delayed:
    """Each chunk of bytes is forwarded after a delay."""

    delay_s: float


@frozen
class Blocked:
    """No bytes are forwarded and no connection ends until the rule changes.

    As after packet loss, the bytes that TCP has buffered in the meantime then
    arrive late.
    """


@frozen
class Severed:
    """Open connections are closed, and new ones as soon as they open."""


Rule = Unrestricted | Delayed | Blocked | Severed


class LinkRules:
    """Rules by link, and the number of bytes forwarded on each."""

    def __init__(self) -> None:
        self._rules: dict[Link, Rule] = {}
        self._passed: collections.Counter[str] = collections.Counter()
        self._changed = Event()

    @property
    def passed(self) -> dict[str, int]:
        """Number of forwarded bytes by link."""
        return dict(self._passed)

    def rule(self, link: Link) -> Rule:
        """Return the rule of a link; unrestricted if none is set."""
        return self._rules.get(link, Unrestricted())

    def replace(self, document: Any) -> None:
        """Replace all rules by those in a JSON document."""
        self._rules = {
            Link(entry['source'], entry['target']): _rule(entry)
            for entry in document
        }
        changed = self._changed
        self._changed = Event()
        changed.send(None)

    def wait_for_change(self) -> None:
        """Block until the rules are replaced."""
        self._changed.wait()

    def wait_to_pass(self, link: Link, size_bytes: int) -> None:
        """Block until the rule of a link lets bytes pass, and count them.

        Raises
        ------
        ConnectionAbortedError
            If the link is severed.
        """
        while True:
            match self.rule(link):
                case Blocked():
                    self.wait_for_change()
                    continue
                case Severed():
                    raise ConnectionAbortedError(str(link))
                case Delayed(delay_s):
                    eventlet.sleep(delay_s)
            self._passed[str(link)] += size_bytes
            return


def _rule(entry: Any) -> Rule:
    match entry['rule']:
        case 'slowed':
            return Delayed(entry['delay_s'])
        case 'withheld':
            return Blocked()
        case 'severed':
            return Severed()
    raise ValueError(entry['rule'])
