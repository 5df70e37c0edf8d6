"""Requests as far as routing needs them, without body or encoding."""

from __future__ import annotations

from attrs import field, frozen, validators


@frozen
class Request:
    """Properties of one request that decide how it is routed.

    Parameters
    ----------
    request_id
        Unique identifier, assigned by the entry daemon.
    workspace
        Name of the workspace that the caller's key belongs to.
    rank
        Name of the rank.
    model
        Name of the model.
    prompt_tokens
        Estimated size of the prompt, tokens.
    output_tokens
        Expected size of the response, tokens.
    timeout_s
        Time left until the response must have begun, seconds.
    idempotent
        Whether the request may run more than once.
    prefix_hash
        Hash of the beginning of the prompt; zero if unknown.
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
        """Size of prompt and expected response together, at least 1 token."""
        return max(1, self.prompt_tokens + self.output_tokens)
