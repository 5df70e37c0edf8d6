"""Decoding of messages on grants."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from cowslipstep.model import (
    Address,
    Grant,
    GrantMessage,
    NotRun,
    Reason,
    Refusal,
    Release,
    Renewal,
    SlotRequest,
)
from cowslipstep.peers._decode_cells import (
    decode_cell,
    decode_own_use,
    decode_use,
)
from cowslipstep.peers._decode_request import decode_request
from cowslipstep.peers._units import ms_to_seconds


def decode_grant_message(name: str, body: Any) -> GrantMessage | None:
    """Read the field ``name``; return ``None`` if it is no such message."""
    reader = _READERS.get(name)
    return None if reader is None else reader(body)


def _ask(raw: Any) -> SlotRequest:
    request = decode_request(raw.request)
    return SlotRequest(
        decode_cell(raw.cell),
        request,
        tuple(raw.avoid),
        raw.immediate,
        tuple(decode_use(use) for use in raw.uses),
    )


def _grant(raw: Any) -> Grant:
    return Grant(
        raw.requestId,
        raw.group,
        Address(raw.ip, raw.port),
        ms_to_seconds(raw.validMs),
        ms_to_seconds(raw.startableMs),
        decode_own_use(raw),
    )


def _refusal(raw: Any) -> Refusal:
    verdict = NotRun(Reason(raw.reason), ms_to_seconds(raw.retryAfterMs))
    return Refusal(raw.requestId, verdict, decode_own_use(raw))


def _renewal(raw: Any) -> Renewal:
    return Renewal(
        decode_cell(raw.cell),
        raw.requestId,
        raw.streamedTokens,
        raw.group,
        raw.workspace,
        raw.rank,
        raw.promptTokens,
    )


def _release(raw: Any) -> Release:
    cell = decode_cell(raw.cell)
    return Release(cell, raw.requestId, raw.streamedTokens, raw.failed)


_READERS: Mapping[str, Callable[[Any], GrantMessage]] = MappingProxyType(
    {
        'ask': _ask,
        'grant': _grant,
        'refusal': _refusal,
        'renewal': _renewal,
        'release': _release,
    }
)
