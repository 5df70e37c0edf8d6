"""Messages to the owners of cells, in this daemon or another."""

from __future__ import annotations

import contextlib

import eventlet
from eventlet.event import Event

from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._pending_owner_calls import PendingOwnerCalls
from cowslipstep.daemon._owners import LOCAL_DISPATCHER, Owners
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Message, Release, Renewal, SlotRequest
from cowslipstep.peers import PeerUnreachable

_REPLY_MARGIN_S = 0.5
_SEND_TIMEOUT_S = 1


class OwnerCalls:
    """Sends messages to the owners of cells by name.

    The name ``LOCAL_DISPATCHER`` stands for dispatchers that serve this
    daemon only.

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
        self._pending = PendingOwnerCalls(state, links, self._owners)
        self._services = {
            state.settings.name: cells,
            LOCAL_DISPATCHER: CellService(state, local=True),
        }

    @property
    def owners(self) -> Owners:
        """Owners of the cells."""
        return self._owners

    def check_pending(self) -> None:
        """End calls to silent or former owners; call it periodically."""
        self._pending.check()

    def run_local_cells(self) -> None:
        """Update the dispatchers that serve only this daemon, forever."""
        self._services[LOCAL_DISPATCHER].run()

    def request_slot(
        self, owner: str, slot_request: SlotRequest
    ) -> Message | None:
        """Return the owner's reply, or ``None`` if it cannot be reached.

        Raises
        ------
        OwnerChanged
            If the owner of the cell changed before it replied.
        """
        with (
            contextlib.suppress(PeerUnreachable),
            self._pending.monitored(owner, slot_request.cell),
        ):
            return self._reply(owner, slot_request)
        return None

    def send(self, owner: str, message: Release | Renewal) -> None:
        """Send an owner the renewal or release of a grant.

        A release also withdraws a slot request that is not granted yet.
        A message to an unreachable owner is dropped.
        """
        service = self._services.get(owner)
        match message:
            case Release() if service:
                service.release(message)
            case Renewal() if service:
                service.renew(message)
            case _:
                _send_to_peer(self._links, owner, message)

    def _reply(self, owner: str, slot_request: SlotRequest) -> Message:
        service = self._services.get(owner)
        if service is None:
            timeout_s = slot_request.request.timeout_s + _REPLY_MARGIN_S
            return self._links.call(owner, slot_request, timeout_s)
        replied = Event()
        service.submit(slot_request, replied.send)
        return replied.wait()


def _send_to_peer(
    links: PeerLinks,
    owner: str,
    message: Release | Renewal,
) -> None:
    with (
        contextlib.suppress(PeerUnreachable),
        eventlet.Timeout(_SEND_TIMEOUT_S, False),
    ):
        links.send(owner, message)
