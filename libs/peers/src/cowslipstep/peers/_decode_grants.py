"""Decoding of slot requests, grants, refusals, renewals and releases."""

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
    decode_reply_usage,
    decode_usage,
)
from cowslipstep.peers._decode_request import decode_request
from cowslipstep.peers._units import ms_to_seconds


def decode_grant_message(name: str, body: Any) -> GrantMessage | None:
    """Decode the union field ``name``; return ``None`` for other messages."""
    reader = _READERS.get(name)
    return None if reader is None else reader(body)


def _slot_request(raw: Any) -> SlotRequest:
    request = decode_request(raw.request)
    return SlotRequest(
        decode_cell(raw.cell),
        request,
        tuple(raw.avoid),
        raw.immediate,
        tuple(decode_usage(usage) for usage in raw.uses),
    )


def _grant(raw: Any) -> Grant:
    return Grant(
        raw.requestId,
        raw.group,
        Address(raw.ip, raw.port),
        ms_to_seconds(raw.validMs),
        ms_to_seconds(raw.startableMs),
        decode_reply_usage(raw),
    )


def _refusal(raw: Any) -> Refusal:
    verdict = NotRun(Reason(raw.reason), ms_to_seconds(raw.retryAfterMs))
    return Refusal(raw.requestId, verdict, decode_reply_usage(raw))


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
        'ask': _slot_request,
        'grant': _grant,
        'refusal': _refusal,
        'renewal': _renewal,
        'release': _release,
    }
)
