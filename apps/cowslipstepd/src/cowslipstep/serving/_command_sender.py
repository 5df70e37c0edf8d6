"""Carries out decisions of the keeper: orders to runners."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import eventlet
from attrs import frozen
from loguru import logger

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import (
    CloseCommand,
    CloseGroup,
    CommandOutcome,
    DiscoveredRunner,
    FleetDecision,
    FormGroup,
    GroupCommand,
    GroupKey,
    JoinCommand,
    LeaveCommand,
    LeaveGroup,
    OpenCommand,
    OpenGroup,
    StageCommand,
    StageModel,
)
from cowslipstep.serving._exchange import Exchange, open_answer
from cowslipstep.serving._state import ServingState

# An order is repeated when its effect does not show in time.
_ANSWER_TIMEOUT_S = 1
# Entries of runners tell that they have left sooner than this, seconds; while
# they do not, the order is given again.
_LEFT_KEPT_S = 60


@frozen
class _Addressed:
    """An order, the runner that it is for, and the group that it ends."""

    runner: DiscoveredRunner
    order: GroupCommand
    ends: GroupKey | None = None


class CommandSender:
    """Sends orders while the lease holds, each in a task of its own.

    Parameters
    ----------
    state
        State of the daemon.
    may_command
        Says whether an order may be sent at this very moment.
    """

    def __init__(
        self,
        state: ServingState,
        may_command: Callable[[], bool],
    ) -> None:
        self._state = state
        self._may_order = may_command
        self._left_s: dict[GroupKey, float] = {}

    @property
    def left(self) -> frozenset[GroupKey]:
        """Groups whose head has lately confirmed that it left."""
        oldest_s = time.monotonic() - _LEFT_KEPT_S
        self._left_s = {
            key: left_s
            for key, left_s in self._left_s.items()
            if left_s > oldest_s
        }
        return frozenset(self._left_s)

    def carry_out(self, decision: FleetDecision, fence: int) -> None:
        """Send the orders that a decision is made of."""
        for addressed in _orders(decision):
            eventlet.spawn(self._send, addressed, fence)

    def _send(self, addressed: _Addressed, fence: int) -> None:
        if not self._may_order():
            return
        try:
            outcome = self._exchange(addressed, fence)
        except UpstreamFailure as failure:
            outcome = CommandOutcome.unknown
            logger.info('order without answer: {}', failure)
        logger.bind(
            runner=addressed.runner.name,
            outcome=outcome.value,
            term=fence,
        ).info('order {}', addressed.order)
        if outcome is CommandOutcome.accepted and addressed.ends is not None:
            # A runner answers an order to leave when it has left.
            self._left_s[addressed.ends] = time.monotonic()

    def _exchange(self, addressed: _Addressed, fence: int) -> CommandOutcome:
        orders = self._state.dialects.orders
        exchange = Exchange(
            addressed.runner.address,
            'POST',
            orders.order_path,
            orders.headers(addressed.runner),
            orders.body(addressed.order, fence),
            _ANSWER_TIMEOUT_S,
        )
        with open_answer(exchange) as answer:
            return orders.outcome(answer.status)


def _orders(decision: FleetDecision) -> Iterator[_Addressed]:
    match decision:
        case FormGroup(key, model, members):
            names = tuple(member.name for member in members)
            joining = JoinCommand(*key, model, names)
            for joined in members:
                yield _Addressed(joined, joining)
        case OpenGroup(key, head):
            yield _Addressed(head, OpenCommand(*key))
        case CloseGroup(key, head):
            yield _Addressed(head, CloseCommand(*key))
        case LeaveGroup(key, member):
            group_position = member.group_position
            ended = key if group_position and group_position.rank == 0 else None
            yield _Addressed(member, LeaveCommand(*key), ended)
        case StageModel(runner, model):
            yield _Addressed(runner, StageCommand(model))
