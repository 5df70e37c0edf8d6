"""Requests as seen by routing, without their encoding."""

from __future__ import annotations

from attrs import field, frozen, validators


@frozen
class Request:
    """What routing needs to know of one request.

    Parameters
    ----------
    request_id
        Unique; assigned by the entry daemon.
    workspace
        Name of the workspace whose key the caller gave.
    rank
        Name of the rank.
    model
        Name of the model.
    prompt_tokens
        Estimated size of the prompt, tokens.
    output_tokens
        Expected size of the answer, tokens.
    timeout_s
        Time left until the answer must have begun, seconds.
    idempotent
        Whether the request may run more than once.
    prefix_hash
        Hash of the head of the prompt; zero when unknown.
    """

    request_id: str
    workspace: str
    rank: str
    model: str
    prompt_tokens: int = field(default=0, validator=validators.ge(0))
    output_tokens: int = field(default=0, validator=validators.ge(0))
    timeout_s: float = 30
    idempotent: bool = True
    prefix_hash: int = 0

    @property
    def cost_tokens(self) -> int:
        """Prompt and expected answer together, at least one token."""
        return max(1, self.prompt_tokens + self.output_tokens)
