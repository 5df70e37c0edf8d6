"""Completion requests: parsing, and the calls that send them upstream."""

from __future__ import annotations

import hashlib
from typing import Any

from attrs import frozen

from cowslipstep.daemon._completion_bodies import (
    max_output_tokens,
    parse_json_object,
    prompt_text,
)
from cowslipstep.daemon._http import REQUEST_ID, Environ
from cowslipstep.daemon._keyed_orders import KeyedOrder
from cowslipstep.daemon._order_headers import (
    find_idempotency_key,
    order_for_request,
)
from cowslipstep.daemon._outcomes import RequestLabels
from cowslipstep.daemon._request_headers import (
    find_rank,
    find_timeout_s,
)
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._upstream import UpstreamCall
from cowslipstep.model import (
    Address,
    Configuration,
    NotRun,
    Reason,
    Request,
    RequestError,
)

_ESTIMATED_CHARS_PER_TOKEN = 4
_HASHED_PREFIX_CHARS = 64
_PREFIX_HASH_BYTES = 8
_NOT_FOUND = 404


@frozen
class CompletionRequest:
    """A completion request and the body to send upstream.

    ``idempotency_key`` is sent to the upstream too; it is empty and ``order``
    is ``None`` for a request without a key.
    """

    request: Request
    body: bytes
    path: str
    stream: bool
    idempotency_key: str
    order: KeyedOrder | None

    @property
    def labels(self) -> RequestLabels:
        """Labels of the request in logs and metrics."""
        return RequestLabels(
            self.request.request_id,
            self.request.workspace,
            self.request.rank,
            self.request.cost_tokens,
        )


def parse_completion_request(
    environ: Environ,
    body: bytes,
    workspace: str,
    configuration: Configuration,
) -> CompletionRequest:
    """Parse a completion request.

    Raises
    ------
    RequestError
        If its body or a header is invalid, or its model is unknown.
    """
    document = parse_json_object(body)
    key = find_idempotency_key(environ, workspace)
    prompt = prompt_text(document)
    request = Request(
        request_id=environ[REQUEST_ID],
        workspace=workspace,
        rank=find_rank(environ, configuration),
        model=_known_model(document, configuration),
        prompt_tokens=len(prompt) // _ESTIMATED_CHARS_PER_TOKEN,
        output_tokens=max_output_tokens(document),
        timeout_s=find_timeout_s(environ),
        idempotent=key is None,
        prefix_hash=_prefix_hash(prompt),
    )
    path = environ['PATH_INFO']
    return CompletionRequest(
        request,
        body,
        path,
        stream=document.get('stream') is True,
        idempotency_key='' if key is None else key.key,
        order=order_for_request(key, (path.encode(), body), configuration),
    )


def upstream_call(
    completion: CompletionRequest,
    address: Address,
    run: RunState,
) -> UpstreamCall:
    """Return the call that sends a request or resumes its stream."""
    headers = {
        'Content-Type': 'application/json',
        'X-Request-Id': completion.request.request_id,
    }
    if completion.idempotency_key:
        headers['Idempotency-Key'] = completion.idempotency_key
    if run.stream_progress.last_id:
        headers['Last-Event-ID'] = run.stream_progress.last_id.decode('latin-1')
    return UpstreamCall(
        address,
        'POST',
        completion.path,
        completion.body,
        headers,
        run.remaining_s,
    )


def _known_model(document: dict[str, Any], configuration: Configuration) -> str:
    model = document.get('model')
    if any(known.name == model for known in configuration.models):
        return str(model)
    raise RequestError(
        NotRun(Reason.unknown_model),
        f'unknown model {model!r}',
        _NOT_FOUND,
    )


def _prefix_hash(prompt: str) -> int:
    head = prompt[:_HASHED_PREFIX_CHARS].encode(errors='replace')
    digest = hashlib.sha256(head).digest()
    return int.from_bytes(digest[:_PREFIX_HASH_BYTES], 'big')
