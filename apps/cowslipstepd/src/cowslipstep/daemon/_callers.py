"""What a caller asks for: workspace, rank, model, size, deadline."""

from __future__ import annotations

import hashlib
import json
import uuid
from typing import Any

from attrs import frozen

from cowslipstep.daemon._http import Environ, bad_request
from cowslipstep.model import (
    Configuration,
    NotRun,
    Reason,
    Request,
    RequestError,
    Workspace,
)

_DEFAULT_OUTPUT_TOKENS = 256
_DEFAULT_TIMEOUT_S = 30.0
_CHARS_PER_TOKEN = 4
_PREFIX_CHARS = 64
_PREFIX_HASH_BYTES = 8
_UNAUTHORIZED = 401
_NOT_FOUND = 404


@frozen
class CallerRequest:
    """A request for a completion and the body to pass on."""

    request: Request
    body: bytes
    path: str
    stream: bool
    key: str


def new_request_id() -> str:
    """Return a unique request id."""
    return uuid.uuid4().hex


def find_workspace(
    environ: Environ,
    configuration: Configuration,
) -> Workspace:
    """Return the workspace whose bearer key the caller gave.

    Raises
    ------
    RequestError
        If the key is missing or unknown.
    """
    scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
    if scheme.lower() == 'bearer':
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        for workspace in configuration.workspaces:
            if digest in workspace.key_sha256:
                return workspace
    raise RequestError(
        NotRun(Reason.unauthorized),
        'missing or unknown bearer key',
        _UNAUTHORIZED,
    )


def find_rank(environ: Environ, configuration: Configuration) -> str:
    """Return the rank that the caller named, or the middle one.

    Raises
    ------
    RequestError
        If no rank has that name.
    """
    ranks = [rank.name for rank in configuration.ranks]
    rank = environ.get('HTTP_X_RANK', ranks[len(ranks) // 2])
    if rank not in ranks:
        raise RequestError(
            NotRun(Reason.unknown_rank),
            f'unknown rank {rank!r}; known: {", ".join(ranks)}',
            400,
        )
    return rank


def find_timeout_s(environ: Environ) -> float:
    """Return the deadline of the ``X-Timeout-S`` header, seconds.

    Raises
    ------
    RequestError
        If it is no positive number.
    """
    text = environ.get('HTTP_X_TIMEOUT_S')
    if text is None:
        return _DEFAULT_TIMEOUT_S
    try:
        timeout_s = float(text)
    except ValueError:
        raise bad_request('X-Timeout-S is not a number') from None
    if not 0 < timeout_s <= 86400:
        raise bad_request('X-Timeout-S must be between 0 and 86400')
    return timeout_s


def parse_completion(
    environ: Environ,
    body: bytes,
    configuration: Configuration,
    request_id: str,
) -> CallerRequest:
    """Read a request for a completion.

    Raises
    ------
    RequestError
        If anything in it is wrong.
    """
    workspace = find_workspace(environ, configuration)
    document = _parse_document(body)
    key = environ.get('HTTP_IDEMPOTENCY_KEY', '')
    prompt = _prompt_text(document)
    request = Request(
        request_id=request_id,
        workspace=workspace.name,
        rank=find_rank(environ, configuration),
        model=_known_model(document, configuration),
        prompt_tokens=len(prompt) // _CHARS_PER_TOKEN,
        output_tokens=_output_tokens(document),
        timeout_s=find_timeout_s(environ),
        idempotent=not key,
        prefix_hash=_prefix_hash(prompt),
    )
    return CallerRequest(
        request,
        body,
        environ['PATH_INFO'],
        stream=document.get('stream') is True,
        key=key,
    )


def _parse_document(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise bad_request('the body is not valid JSON') from None
    if not isinstance(document, dict):
        raise bad_request('the body is not a JSON object')
    return document


def _known_model(document: dict[str, Any], configuration: Configuration) -> str:
    model = document.get('model')
    if any(known.name == model for known in configuration.models):
        return str(model)
    raise RequestError(
        NotRun(Reason.unknown_model),
        f'unknown model {model!r}',
        _NOT_FOUND,
    )


def _prompt_text(document: dict[str, Any]) -> str:
    prompt = document.get('prompt')
    if isinstance(prompt, str):
        return prompt
    turns = document.get('messages')
    if not isinstance(turns, list) or not turns:
        raise bad_request('one of prompt (text) or messages (list) is needed')
    return '\n'.join(_turn_text(turn) for turn in turns)


def _turn_text(turn: Any) -> str:
    content = turn.get('content') if isinstance(turn, dict) else None
    if not isinstance(content, str):
        raise bad_request('each message needs a text content')
    return content


def _output_tokens(document: dict[str, Any]) -> int:
    tokens = document.get('max_tokens', _DEFAULT_OUTPUT_TOKENS)
    if isinstance(tokens, bool) or not isinstance(tokens, int) or tokens < 1:
        raise bad_request('max_tokens must be a positive whole number')
    return tokens


def _prefix_hash(prompt: str) -> int:
    head = prompt[:_PREFIX_CHARS].encode(errors='replace')
    digest = hashlib.sha256(head).digest()
    return int.from_bytes(digest[:_PREFIX_HASH_BYTES], 'big')
