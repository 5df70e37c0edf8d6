"""Idempotency keys in the headers of callers' requests."""

from __future__ import annotations

from cowslipstep.daemon._http import Environ
from cowslipstep.daemon._keyed_orders import (
    IdempotencyKey,
    KeyedOrder,
    make_order,
)
from cowslipstep.daemon._request_bodies import bad_request
from cowslipstep.model import Configuration

_KEY = 'HTTP_IDEMPOTENCY_KEY'
_SEND_NUMBER = 'HTTP_IDEMPOTENCY_ATTEMPT'
_FIRST_SEND_NUMBER = '1'
_MAX_KEY_CHARS = 255


def find_idempotency_key(
    environ: Environ,
    workspace: str,
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
    """Return whether no earlier send of the request can have run.

    That holds for a request without a key, and if the caller sets the
    ``Idempotency-Attempt`` header to 1.
    """
    if not environ.get(_KEY):
        return True
    return environ.get(_SEND_NUMBER, '').strip() == _FIRST_SEND_NUMBER


def order_for_request(
    key: IdempotencyKey | None,
    request_parts: tuple[bytes, ...],
    configuration: Configuration,
) -> KeyedOrder | None:
    """Return the order of a request, or ``None`` if it has no key.

    Raises
    ------
    RequestError
        If the key's issue time is too old or lies in the future.
    """
    if key is None:
        return None
    return make_order(key, request_parts, configuration.key_retention_s)
