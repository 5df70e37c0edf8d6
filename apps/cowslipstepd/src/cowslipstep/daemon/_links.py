"""Links to the other daemons, opened when needed and closed when idle."""

from __future__ import annotations

import time
from typing import Any

from attrs import define

from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import start_task
from cowslipstep.model import DaemonEntry, Message
from cowslipstep.peers import PeerEndpoint, PeerLink, PeerUnreachable

_IDLE_TIMEOUT_S = 60


@define
class _OpenLink:
    link: PeerLink
    task: Any
    used_at_s: float

    def close(self) -> None:
        """End the link's task and close its connection."""
        self.task.kill()
        self.link.reset()


class PeerLinks:
    """Sends messages to daemons by name, over links opened on demand.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._open: dict[str, _OpenLink] = {}

    def call(self, name: str, message: Message, timeout_s: float) -> Message:
        """Send a message and wait for the reply.

        Raises
        ------
        PeerUnreachable
            If there is no reply within ``timeout_s`` seconds.
        """
        return self._find(name).call(message, timeout_s)

    def send(self, name: str, message: Message) -> None:
        """Send a message that needs no reply.

        Raises
        ------
        PeerUnreachable
            If the link is down.
        """
        self._find(name).send(message)

    def reset(self, name: str) -> None:
        """Close the connection to a daemon; its link opens another one."""
        opened = self._open.get(name)
        if opened is not None:
            opened.link.reset()

    def close_idle(self) -> None:
        """Close the links that were idle for longer than the timeout."""
        idle_since_s = time.monotonic() - _IDLE_TIMEOUT_S
        for name, opened in tuple(self._open.items()):
            if opened.used_at_s < idle_since_s:
                self._open.pop(name)
                opened.close()

    def _find(self, name: str) -> PeerLink:
        entry = self._state.membership.others.get(name)
        if entry is None:
            raise PeerUnreachable(f'no directory entry of daemon {name}')
        opened = self._open.get(name)
        if opened is not None and opened.link.endpoint.address != entry.address:
            opened.close()
            opened = None
        if opened is None:
            opened = self._open_link(entry)
        opened.used_at_s = time.monotonic()
        return opened.link

    def _open_link(self, entry: DaemonEntry) -> _OpenLink:
        own_entry = self._state.membership.own
        link = PeerLink(
            PeerEndpoint(entry.address, own_entry, self._state.traffic)
        )
        task = start_task(f'link to {entry.name}', link.run)
        opened = _OpenLink(link, task, time.monotonic())
        self._open[entry.name] = opened
        return opened
