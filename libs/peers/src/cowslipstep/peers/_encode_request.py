"""Encoding of a caller's request within a slot request."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import Request
from cowslipstep.peers._units import MAX_UINT32, seconds_to_ms


def write_request(builder: Any, request: Request) -> None:
    """Write a request; token counts are clamped to a ``UInt32``."""
    builder.requestId = request.request_id
    builder.workspace = request.workspace
    builder.rank = request.rank
    builder.model = request.model
    builder.promptTokens = min(request.prompt_tokens, MAX_UINT32)
    builder.outputTokens = min(request.output_tokens, MAX_UINT32)
    builder.timeoutMs = seconds_to_ms(request.timeout_s)
    builder.idempotent = request.idempotent
    builder.prefixHash = request.prefix_hash
