"""Requests for completions as callers send them."""

from __future__ import annotations

import hashlib
from typing import Any

from attrs import frozen

from cowslipstep.daemon._bodies import (
    output_tokens,
    parse_document,
    prompt_text,
)
from cowslipstep.daemon._headers import (
    find_rank,
    find_timeout_s,
)
from cowslipstep.daemon._http import REQUEST_ID, Environ
from cowslipstep.daemon._keyed_orders import KeyedOrder
from cowslipstep.daemon._order_headers import (
    find_idempotency_key,
    order_for_request,
)
from cowslipstep.daemon._outcomes import RequestLabels
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

_CHARS_PER_TOKEN = 4
_PREFIX_CHARS = 64
_PREFIX_HASH_BYTES = 8
_NOT_FOUND = 404


@frozen
class CallerRequest:
    """A request for a completion and the body to pass on.

    ``order`` is ``None`` for a request without an idempotency key.
    """

    request: Request
    body: bytes
    path: str
    stream: bool
    key: str
    order: KeyedOrder | None

    @property
    def labels(self) -> RequestLabels:
        """Labels in logs and metrics."""
        return RequestLabels(
            self.request.request_id,
            self.request.workspace,
            self.request.rank,
            self.request.cost_tokens,
        )


def parse_completion(
    environ: Environ,
    body: bytes,
    workspace: str,
    configuration: Configuration,
) -> CallerRequest:
    """Read a request for a completion.

    Raises
    ------
    RequestError
        If anything in it is wrong.
    """
    document = parse_document(body)
    use = find_idempotency_key(environ, workspace)
    prompt = prompt_text(document)
    request = Request(
        request_id=environ[REQUEST_ID],
        workspace=workspace,
        rank=find_rank(environ, configuration),
        model=_known_model(document, configuration),
        prompt_tokens=len(prompt) // _CHARS_PER_TOKEN,
        output_tokens=output_tokens(document),
        timeout_s=find_timeout_s(environ),
        idempotent=use is None,
        prefix_hash=_prefix_hash(prompt),
    )
    path = environ['PATH_INFO']
    return CallerRequest(
        request,
        body,
        path,
        stream=document.get('stream') is True,
        key='' if use is None else use.key,
        order=order_for_request(use, (path.encode(), body), configuration),
    )


def upstream_call(
    caller: CallerRequest,
    address: Address,
    run: RunState,
) -> UpstreamCall:
    """Return the call that sends a request, or resumes its stream."""
    headers = {
        'Content-Type': 'application/json',
        'X-Request-Id': caller.request.request_id,
    }
    if caller.key:
        headers['Idempotency-Key'] = caller.key
    if run.stream.last_id:
        headers['Last-Event-ID'] = run.stream.last_id.decode('latin-1')
    return UpstreamCall(
        address,
        'POST',
        caller.path,
        caller.body,
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
    head = prompt[:_PREFIX_CHARS].encode(errors='replace')
    digest = hashlib.sha256(head).digest()
    return int.from_bytes(digest[:_PREFIX_HASH_BYTES], 'big')
