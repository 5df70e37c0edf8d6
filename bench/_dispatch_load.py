"""A dispatcher whose slots are all granted and whose queue is filled."""

from __future__ import annotations

import itertools
import time

from cowslipstep.model import Address, Cell, Rank, Release, Request, SlotRequest
from cowslipstep.routing import CellPolicy, Dispatcher, GroupSlots

_CELL = Cell('drafting', 'a')
_NEVER_EXPIRES_S = 1000000
_RANKS = (Rank('normal', target_first_token_s=_NEVER_EXPIRES_S),)
_GROUP_COUNT = 32
_SLOTS_PER_GROUP = 8
_QUEUED_PER_WORKSPACE = 10


class DispatcherLoad:
    """Sends slot requests to a dispatcher and releases its oldest grants."""

    def __init__(self, dispatcher: Dispatcher, workspaces: int) -> None:
        self._dispatcher = dispatcher
        self._workspaces = workspaces
        self._numbers = itertools.count()
        self._granted: list[str] = []

    @property
    def queued(self) -> int:
        """Number of queued slot requests."""
        return self._dispatcher.load.queued

    def submit(self) -> str:
        """Queue a slot request and return its request id."""
        number = next(self._numbers)
        request_id = f'r{number}'
        workspace = number % self._workspaces
        request = Request(
            request_id,
            f'w{workspace}',
            'normal',
            'drafting',
            prompt_tokens=1,
            timeout_s=_NEVER_EXPIRES_S,
        )
        self._dispatcher.submit(
            SlotRequest(_CELL, request),
            lambda _: self._granted.append(request_id),
        )
        return request_id

    def submit_and_withdraw(self) -> None:
        """Queue a slot request and withdraw it."""
        self._dispatcher.release(Release(_CELL, self.submit(), 0))

    def release_and_submit(self) -> None:
        """Release a slot, which goes to a queued request; queue another one."""
        self._dispatcher.release(Release(_CELL, self._granted.pop(0), 0))
        self.submit()


def make_dispatcher_load(queued: int) -> DispatcherLoad:
    """Return a dispatcher with that number of queued slot requests."""
    dispatcher = Dispatcher(time.monotonic)
    address = Address('127.0.0.1', 1)
    groups = [
        GroupSlots(f'g{index}', address, _SLOTS_PER_GROUP, float('inf'))
        for index in range(_GROUP_COUNT)
    ]
    dispatcher.update(CellPolicy(_RANKS), groups)
    load = DispatcherLoad(dispatcher, round(queued / _QUEUED_PER_WORKSPACE))
    while load.queued < queued:
        load.submit()
    return load
