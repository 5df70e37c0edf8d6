"""What the body of a completion request says."""

from __future__ import annotations

import json
from typing import Any

from cowslipstep.daemon._request_bodies import bad_request

_DEFAULT_OUTPUT_TOKENS = 256


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Decode a body that must be a JSON object.

    Raises
    ------
    RequestError
        If it is not.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise bad_request('the body is not valid JSON') from None
    if not isinstance(document, dict):
        raise bad_request('the body is not a JSON object')
    return document


def prompt_text(document: dict[str, Any]) -> str:
    """Return the prompt, or the texts of all messages.

    Raises
    ------
    RequestError
        If there is neither.
    """
    prompt = document.get('prompt')
    if isinstance(prompt, str):
        return prompt
    turns = document.get('messages')
    if not isinstance(turns, list) or not turns:
        raise bad_request('one of prompt (text) or messages (list) is needed')
    return '\n'.join(_turn_text(turn) for turn in turns)


def _turn_text(turn: Any) -> str:
    text = turn.get('content') if isinstance(turn, dict) else None
    if not isinstance(text, str):
        raise bad_request('each message needs a text content')
    return text


def output_tokens(document: dict[str, Any]) -> int:
    """Return the largest size of the answer, tokens.

    Raises
    ------
    RequestError
        If ``max_tokens`` is no positive whole number.
    """
    tokens = document.get('max_tokens', _DEFAULT_OUTPUT_TOKENS)
    if isinstance(tokens, bool) or not isinstance(tokens, int) or tokens < 1:
        raise bad_request('max_tokens must be a positive whole number')
    return tokens
