"""Deterministic answers: each token names the prompt that it answers."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from attrs import frozen

_DIGEST_CHARS = 8
_DEFAULT_TOKENS = 16


def prompt_digest(prompt: str) -> str:
    """Short digest of a prompt, part of each token of its answer."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:_DIGEST_CHARS]


def expected_answer(prompt: str, tokens: int) -> str:
    """The whole text that an engine generates for a prompt."""
    digest = prompt_digest(prompt)
    return ''.join(token_text(digest, index) for index in range(tokens))


def token_text(digest: str, index: int) -> str:
    """Text of one generated token."""
    return f'{digest}-{index} '


@frozen
class Generation:
    """One generation request as the engine understands it."""

    request_id: str
    key: str
    prompt: str
    tokens: int
    priority: int
    stream: bool
    chat: bool
    model: str
    first_token: int = 0

    @property
    def digest(self) -> str:
        """Digest of the prompt."""
        return prompt_digest(self.prompt)

    def event(self, index: int) -> bytes:
        """Server-sent event of one token."""
        chunk = json.dumps(self._chunk(token_text(self.digest, index)))
        return f'id: {index}\ndata: {chunk}\n\n'.encode()

    def document(self) -> Any:
        """The whole answer as one document."""
        text = expected_answer(self.prompt, self.tokens)
        choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
        if self.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return {
            'id': self.request_id,
            'object': 'chat.completion' if self.chat else 'text_completion',
            'model': self.model,
            'choices': [choice],
            'usage': {
                'prompt_tokens': len(self.prompt.split()),
                'completion_tokens': self.tokens,
            },
        }

    def _chunk(self, text: str) -> Any:
        choice: dict[str, Any] = {'index': 0}
        if self.chat:
            choice['delta'] = {'content': text}
        else:
            choice['text'] = text
        return {
            'id': self.request_id,
            'object': 'completion.chunk',
            'model': self.model,
            'choices': [choice],
        }


def parse_generation(
    document: Any,
    headers: dict[str, str],
    chat: bool,
) -> Generation:
    """Read a request to ``/v1/completions`` or ``/v1/chat/completions``."""
    prompt = document.get('prompt', '')
    if chat:
        prompt = '\n'.join(turn['content'] for turn in document['messages'])
    last_event = headers.get('last-event-id')
    return Generation(
        request_id=headers.get('x-request-id', ''),
        key=headers.get('idempotency-key', ''),
        prompt=prompt,
        tokens=int(document.get('max_tokens', _DEFAULT_TOKENS)),
        priority=int(headers.get('x-priority', 0)),
        stream=bool(document.get('stream')),
        chat=chat,
        model=document.get('model', ''),
        first_token=0 if last_event is None else int(last_event) + 1,
    )
