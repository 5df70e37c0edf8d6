"""A dispatcher with all slots in use and a queue."""

from __future__ import annotations

import itertools
import time

from cowslipstep.model import Address, Cell, Rank, Release, Request, SlotRequest
from cowslipstep.routing import CellPolicy, Dispatcher, GroupSlots

_CELL = Cell('drafting', 'a')
_LONG_S = 1000000
_RANKS = (Rank('normal', target_first_token_s=_LONG_S),)
_GROUPS = 32
_SLOTS = 8
_WORKSPACE_SHARE = 10


class DispatcherLoad:
    """Sends asks to a dispatcher and ends its grants in turn."""

    def __init__(self, dispatcher: Dispatcher, workspaces: int) -> None:
        self._dispatcher = dispatcher
        self._workspaces = workspaces
        self._numbers = itertools.count()
        self._granted: list[str] = []

    @property
    def queued(self) -> int:
        """Number of asks that wait."""
        return self._dispatcher.load.queued

    def ask(self) -> str:
        """Queue one ask and return its request."""
        number = next(self._numbers)
        name = f'r{number}'
        workspace = number % self._workspaces
        request = Request(
            name,
            f'w{workspace}',
            'normal',
            'drafting',
            prompt_tokens=1,
            timeout_s=_LONG_S,
        )
        self._dispatcher.submit(
            SlotRequest(_CELL, request),
            lambda _: self._granted.append(name),
        )
        return name

    def ask_and_withdraw(self) -> None:
        """Queue one ask and take it back."""
        self._dispatcher.release(Release(_CELL, self.ask(), 0))

    def end_and_ask(self) -> None:
        """End a grant, which grants the next ask, and queue another one."""
        self._dispatcher.release(Release(_CELL, self._granted.pop(0), 0))
        self.ask()


def open_dispatcher(queued: int) -> DispatcherLoad:
    """Return a dispatcher with as many asks queued."""
    dispatcher = Dispatcher(time.monotonic)
    address = Address('127.0.0.1', 1)
    groups = [
        GroupSlots(f'g{index}', address, _SLOTS, float('inf'))
        for index in range(_GROUPS)
    ]
    dispatcher.update(CellPolicy(_RANKS), groups)
    load = DispatcherLoad(dispatcher, round(queued / _WORKSPACE_SHARE))
    while load.queued < queued:
        load.ask()
    return load
