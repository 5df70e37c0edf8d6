"""Decoding of a caller's request within a slot request."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import Request
from cowslipstep.peers._units import ms_to_seconds


def decode_request(raw: Any) -> Request:
    """Decode a request."""
    return Request(
        request_id=raw.requestId,
        workspace=raw.workspace,
        rank=raw.rank,
        model=raw.model,
        prompt_tokens=raw.promptTokens,
        output_tokens=raw.outputTokens,
        timeout_s=ms_to_seconds(raw.timeoutMs),
        idempotent=raw.idempotent,
        prefix_hash=raw.prefixHash,
    )
