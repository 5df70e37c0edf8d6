"""Links to other daemons: two tasks for each of them."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

from attrs import define

from cowslipstep.daemon._tasks import start_task
from cowslipstep.model import DaemonEntry
from cowslipstep.peers import PeerEndpoint, PeerLink, Traffic
from cowslipstep.serving._registry import DaemonRegistry

TellPeer = Callable[[str, PeerLink], None]


@define
class _Peer:
    entry: DaemonEntry
    link: PeerLink
    tasks: list[Any]

    def close(self) -> None:
        """End the tasks and the connection."""
        for task in self.tasks:
            task.kill()
        self.link.reset()


class PeerLinks:
    """Keeps a link to each daemon that is to be told of loads.

    Parameters
    ----------
    own
        Entry of this daemon, which is told first on each link.
    registry
        The other daemons.
    traffic
        Counts what passes.
    tell
        Tells one peer for as long as its link is kept.
    """

    def __init__(
        self,
        own: DaemonEntry,
        registry: DaemonRegistry,
        traffic: Traffic,
        tell: TellPeer,
    ) -> None:
        self._registry = registry
        self._own = own
        self._traffic = traffic
        self._tell = tell
        self._peers: dict[str, _Peer] = {}

    def get(self, name: str) -> PeerLink | None:
        """Return the link to a peer, if there is one."""
        peer = self._peers.get(name)
        return peer.link if peer else None

    def keep(self, wanted: Collection[str]) -> None:
        """Open links to these daemons and close all others."""
        others = self._registry.others
        for name, peer in tuple(self._peers.items()):
            if name not in wanted or others.get(name) != peer.entry:
                self._peers.pop(name).close()
        for missing in set(wanted) & others.keys() - self._peers.keys():
            self._peers[missing] = self._open(others[missing])

    def _open(self, entry: DaemonEntry) -> _Peer:
        link = PeerLink(PeerEndpoint(entry.address, self._own, self._traffic))
        tasks = [
            start_task(f'link to {entry.name}', link.run),
            start_task(
                f'reports to {entry.name}',
                lambda: self._tell(entry.name, link),
            ),
        ]
        return _Peer(entry, link, tasks)
