"""Links to other daemons: two tasks for each of them."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

from attrs import define

from cowslipstep.daemon._tasks import start_task
from cowslipstep.model import DaemonEntry
from cowslipstep.peers import PeerEndpoint, PeerLink, Traffic
from cowslipstep.serving._registry import DaemonRegistry

SendReports = Callable[[str, PeerLink], None]


@define
class _LinkedPeer:
    entry: DaemonEntry
    link: PeerLink
    tasks: list[Any]

    def close(self) -> None:
        """End the tasks and the connection."""
        for task in self.tasks:
            task.kill()
        self.link.reset()


class PeerLinks:
    """Holds a link to each daemon that receives load reports.

    Parameters
    ----------
    own
        Entry of this daemon, which is sent first on each link.
    registry
        The other daemons.
    traffic
        Counts bytes and frames.
    send_reports
        Sends reports to one peer until its link is closed.
    """

    def __init__(
        self,
        own: DaemonEntry,
        registry: DaemonRegistry,
        traffic: Traffic,
        send_reports: SendReports,
    ) -> None:
        self._registry = registry
        self._own = own
        self._traffic = traffic
        self._send_reports = send_reports
        self._peers: dict[str, _LinkedPeer] = {}

    def get(self, name: str) -> PeerLink | None:
        """Return the link to a peer, if there is one."""
        peer = self._peers.get(name)
        return peer.link if peer else None

    def reconcile(self, receivers: Collection[str]) -> None:
        """Open links to these daemons and close all others."""
        others = self._registry.others
        for name, peer in tuple(self._peers.items()):
            if name not in receivers or others.get(name) != peer.entry:
                self._peers.pop(name).close()
        for missing in set(receivers) & others.keys() - self._peers.keys():
            self._peers[missing] = self._open(others[missing])

    def _open(self, entry: DaemonEntry) -> _LinkedPeer:
        link = PeerLink(PeerEndpoint(entry.address, self._own, self._traffic))
        tasks = [
            # Failures of the link to one peer leave the daemon able to serve.
            start_task(f'link to {entry.name}', link.run),
            start_task(
                f'reports to {entry.name}',
                lambda: self._send_reports(entry.name, link),
            ),
        ]
        return _LinkedPeer(entry, link, tasks)
