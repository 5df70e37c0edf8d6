"""JSON text of segments of the ledger of orders."""

from __future__ import annotations

import base64
import json
from typing import Any

from cowslipstep.delivery import (
    OrderClaim,
    OrderEntry,
    OrderResponse,
    Segment,
)

_CLAIM_ID = 'attempt'
_FINGERPRINT = 'fingerprint'
_ENTERED = 'entered'
_STATUS = 'status'
_CONTENT_TYPE = 'type'
_BODY = 'body'


def encode_segment(segment: Segment) -> str:
    """Return the JSON text of a segment."""
    return json.dumps(
        {
            digest: _encode_entry(entry)
            for digest, entry in segment.entries.items()
        },
        separators=(',', ':'),
    )


def decode_segment(text: str) -> Segment:
    """Read a segment from its JSON text."""
    return Segment(
        {
            digest: _decode_entry(digest, raw)
            for digest, raw in json.loads(text).items()
        },
    )


def _encode_entry(entry: OrderEntry) -> dict[str, Any]:
    raw: dict[str, Any] = {
        _CLAIM_ID: entry.claim.claim_id,
        _FINGERPRINT: entry.claim.fingerprint,
        _ENTERED: entry.entered_unix_s,
    }
    match entry.response:
        case OrderResponse(status, content_type, body):
            raw[_STATUS] = status
            raw[_CONTENT_TYPE] = content_type
            if body is not None:
                raw[_BODY] = base64.b64encode(body).decode()
    return raw


def _decode_entry(digest: str, raw: dict[str, Any]) -> OrderEntry:
    claim = OrderClaim(digest, raw[_CLAIM_ID], raw[_FINGERPRINT])
    return OrderEntry(claim, raw[_ENTERED], _decode_response(raw))


def _decode_response(raw: dict[str, Any]) -> OrderResponse | None:
    if _STATUS not in raw:
        return None
    body = raw.get(_BODY)
    return OrderResponse(
        raw[_STATUS],
        raw[_CONTENT_TYPE],
        None if body is None else base64.b64decode(body),
    )
