"""Deterministic completions: each token carries a digest of its prompt."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from attrs import frozen

_DIGEST_CHARS = 8
_DEFAULT_TOKENS = 16


def prompt_digest(prompt: str) -> str:
    """Return the digest that each token of a completion carries."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:_DIGEST_CHARS]


def expected_completion(prompt: str, tokens: int) -> str:
    """Return the whole text that an engine generates for a prompt."""
    digest = prompt_digest(prompt)
    return ''.join(token_text(digest, index) for index in range(tokens))


def token_text(digest: str, index: int) -> str:
    """Return the text of one generated token."""
    return f'{digest}-{index} '


@frozen
class Generation:
    """A parsed request to generate a completion."""

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
        """Return the server-sent event of one token."""
        chunk = json.dumps(self._chunk(token_text(self.digest, index)))
        return f'id: {index}\ndata: {chunk}\n\n'.encode()

    def document(self) -> Any:
        """Return the response body of a request that is not streamed."""
        text = expected_completion(self.prompt, self.tokens)
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
    """Parse a request to ``/v1/completions`` or ``/v1/chat/completions``.

    A stream is resumed after the token that ``Last-Event-ID`` names.
    """
    prompt = document.get('prompt', '')
    if chat:
        prompt = '\n'.join(
            message['content'] for message in document['messages']
        )
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
