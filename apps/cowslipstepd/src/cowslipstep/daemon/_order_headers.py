"""Idempotency keys in callers' headers."""

from __future__ import annotations

from cowslipstep.daemon._http import Environ
from cowslipstep.daemon._intake import bad_request
from cowslipstep.daemon._keyed_orders import (
    IdempotencyKey,
    KeyedOrder,
    make_order,
)
from cowslipstep.model import Configuration

_KEY = 'HTTP_IDEMPOTENCY_KEY'
_ATTEMPT = 'HTTP_IDEMPOTENCY_ATTEMPT'
_FIRST_ATTEMPT = '1'
_MAX_KEY_CHARS = 255


def find_idempotency_key(
    environ: Environ, workspace: str
) -> IdempotencyKey | None:
    """Return the idempotency key of a request, if it has one.

    Raises
    ------
    RequestError
        If the key is too long.
    """
    key = environ.get(_KEY, '').strip()
    if not key:
        return None
    if len(key) > _MAX_KEY_CHARS:
        raise bad_request(
            f'Idempotency-Key is longer than {_MAX_KEY_CHARS} characters',
        )
    return IdempotencyKey(workspace, key, is_first_send(environ))


def is_first_send(environ: Environ) -> bool:
    """Say whether no earlier send of the request can have run it.

    That is so without a key, and where the caller says so in the
    ``Idempotency-Attempt`` header.
    """
    if not environ.get(_KEY):
        return True
    return environ.get(_ATTEMPT, '').strip() == _FIRST_ATTEMPT


def order_for_request(
    use: IdempotencyKey | None,
    asked: tuple[bytes, ...],
    configuration: Configuration,
) -> KeyedOrder | None:
    """Return the order that a key stands for, if there is a key.

    Raises
    ------
    RequestError
        If the key is too old.
    """
    if use is None:
        return None
    return make_order(use, asked, configuration.key_retention_s)
