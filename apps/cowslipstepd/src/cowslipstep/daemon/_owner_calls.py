"""Messages to the owners of cells, in this process or another."""

from __future__ import annotations

import contextlib

import eventlet
from eventlet.event import Event

from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._owner_waits import OwnerWaits
from cowslipstep.daemon._owners import LOCAL, Owners
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Message, Release, Renewal, SlotRequest
from cowslipstep.peers import PeerUnreachable

_REPLY_MARGIN_S = 0.5
_TELL_TIMEOUT_S = 1


class OwnerCalls:
    """Calls the owners of cells by name.

    Parameters
    ----------
    state
        State of the daemon.
    cells
        Serves the cells that this daemon owns.
    links
        Links to the other owners.
    """

    def __init__(
        self,
        state: DaemonState,
        cells: CellService,
        links: PeerLinks,
    ) -> None:
        self._links = links
        self._owners = Owners(state)
        self._waits = OwnerWaits(state, links, self._owners)
        self._services = {
            state.settings.name: cells,
            LOCAL: CellService(state, local=True),
        }

    @property
    def owners(self) -> Owners:
        """Owners of the cells."""
        return self._owners

    def check(self) -> None:
        """Look for owners that fell silent or changed; call periodically."""
        self._waits.check()

    def run_local(self) -> None:
        """Keep the dispatchers up to date that only this daemon uses."""
        self._services[LOCAL].run()

    def ask(self, owner: str, ask: SlotRequest) -> Message | None:
        """Return the owner's reply, or nothing if it cannot be reached.

        Raises
        ------
        OwnerChanged
            If another daemon owns the cell meanwhile.
        """
        with (
            contextlib.suppress(PeerUnreachable),
            self._waits.watched(owner, ask.cell),
        ):
            return self._reply(owner, ask)
        return None

    def tell(self, owner: str, message: Release | Renewal) -> None:
        """Tell an owner that a grant goes on or has ended."""
        service = self._services.get(owner)
        match message:
            case Release() if service:
                service.release(message)
            case Renewal() if service:
                service.renew(message)
            case _:
                _tell_peer(self._links, owner, message)

    def _reply(self, owner: str, ask: SlotRequest) -> Message:
        service = self._services.get(owner)
        if service is None:
            timeout_s = ask.request.timeout_s + _REPLY_MARGIN_S
            return self._links.call(owner, ask, timeout_s)
        replied = Event()
        service.submit(ask, replied.send)
        return replied.wait()


def _tell_peer(
    links: PeerLinks,
    owner: str,
    message: Release | Renewal,
) -> None:
    with (
        contextlib.suppress(PeerUnreachable),
        eventlet.Timeout(_TELL_TIMEOUT_S, False),
    ):
        links.tell(owner, message)
