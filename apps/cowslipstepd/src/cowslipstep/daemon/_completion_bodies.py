"""JSON bodies of completion requests."""

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
        If it is not valid JSON or not an object.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise bad_request('the body is not valid JSON') from None
    if not isinstance(document, dict):
        raise bad_request('the body is not a JSON object')
    return document


def prompt_text(document: dict[str, Any]) -> str:
    """Return the prompt, or the texts of all messages joined by newlines.

    Raises
    ------
    RequestError
        If the body has neither, or a message has no text.
    """
    prompt = document.get('prompt')
    if isinstance(prompt, str):
        return prompt
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        raise bad_request(
            'expected prompt (text) or messages (a non-empty list)'
        )
    return '\n'.join(_message_text(message) for message in messages)


def _message_text(message: Any) -> str:
    text = message.get('content') if isinstance(message, dict) else None
    if not isinstance(text, str):
        raise bad_request('expected content (text) in each message')
    return text


def max_output_tokens(document: dict[str, Any]) -> int:
    """Return the maximum length of the response, tokens.

    Raises
    ------
    RequestError
        If ``max_tokens`` is not a positive integer.
    """
    max_tokens = document.get('max_tokens', _DEFAULT_OUTPUT_TOKENS)
    if (
        isinstance(max_tokens, bool)
        or not isinstance(max_tokens, int)
        or max_tokens < 1
    ):
        raise bad_request('max_tokens must be a positive integer')
    return max_tokens
