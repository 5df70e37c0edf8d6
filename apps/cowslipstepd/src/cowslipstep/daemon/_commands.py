"""Orders to engines."""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

import eventlet
import urllib3
from attrs import frozen
from loguru import logger
from urllib3.connection import HTTPConnection

from cowslipstep.daemon._health_calls import read_health
from cowslipstep.daemon._prober import Prober
from cowslipstep.groups import AssignCommand, HostCommand, ReleaseCommand

_ORDER_TIMEOUT_S = 0.5
_REPEAT_AFTER_S = 1
_ORDERS_AT_ONCE = 16
_OK = 200


@frozen
class CommandAuthority:
    """Fencing number of the sender, and whether it may send at this moment."""

    fence: int
    may_send: Callable[[], bool]


class CommandSender:
    """Sends orders with the fencing number of the keeper.

    Parameters
    ----------
    prober
        Is told what hosts say in answer to orders.
    """

    def __init__(self, prober: Prober) -> None:
        self._prober = prober
        self._sent_at_s: dict[str, float] = {}

    def send_all(
        self, orders: list[HostCommand], right: CommandAuthority
    ) -> None:
        """Send orders, each at most once within the repetition time."""
        pool = eventlet.GreenPool(_ORDERS_AT_ONCE)
        oldest_s = time.monotonic() - _REPEAT_AFTER_S
        for order in orders:
            if self._sent_at_s.get(order.runner.host, oldest_s) <= oldest_s:
                pool.spawn(self._send, order, right)
        pool.waitall()

    def _send(self, order: HostCommand, right: CommandAuthority) -> None:
        sent_at_s = time.monotonic()
        self._sent_at_s[order.runner.host] = sent_at_s
        try:
            health = _exchange(order, right)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            host = order.runner.host
            logger.bind(host=host).warning('order failed: {}', error)
            return
        if health is not None:
            self._prober.note(read_health(health, sent_at_s))


def _exchange(
    order: HostCommand, right: CommandAuthority
) -> dict[str, Any] | None:
    address = order.runner.address
    connection = HTTPConnection(
        address.ip,
        address.port,
        timeout=_ORDER_TIMEOUT_S,
    )
    body = json.dumps({**_document(order), 'fence': right.fence})
    with contextlib.closing(connection):
        connection.connect()
        # Last of all, since the process may have been paused until now.
        if not right.may_send():
            return None
        connection.request('POST', '/orders', body=body)
        answer = connection.getresponse()
        return answer.json() if answer.status == _OK else None


def _document(order: HostCommand) -> dict[str, Any]:
    match order:
        case AssignCommand(group=group):
            return {
                'order': 'assign',
                'group': group.name,
                'model': group.model,
                'members': group.members,
            }
        case ReleaseCommand():
            return {'order': 'release'}
