"""Mean lengths of prompts and responses for each model."""

from __future__ import annotations

from attrs import define, field, frozen

from cowslipstep.fleet import EngineProfile

# Weight of one request in the moving means: about the last 50 count.
_SAMPLE_WEIGHT = 0.02


@define
class _LengthMeans:
    prompt_tokens: float
    output_tokens: float

    def add(self, prompt_tokens: float, output_tokens: float) -> None:
        """Add one request to the moving means."""
        self.prompt_tokens += _SAMPLE_WEIGHT * (
            prompt_tokens - self.prompt_tokens
        )
        self.output_tokens += _SAMPLE_WEIGHT * (
            output_tokens - self.output_tokens
        )


@frozen
class UsualRequest:
    """Mean lengths of a model's requests, in tokens."""

    prompt_tokens: float
    output_tokens: float


@define
class UsualRequests:
    """Moving means of the lengths of requests, by model.

    Requests state the maximum length of their response, which may be far
    above its real length. The engine publishes the real mean over all
    models, so the stated lengths only decide how models differ from it.
    """

    _all_models: _LengthMeans | None = None
    _models: dict[str, _LengthMeans] = field(factory=dict)

    def add(self, model: str, prompt_tokens: int, output_tokens: int) -> None:
        """Add a request with its estimated prompt and stated output tokens."""
        lengths = (prompt_tokens, output_tokens)
        if self._all_models is None:
            self._all_models = _LengthMeans(*lengths)
        self._all_models.add(*lengths)
        self._models.setdefault(model, _LengthMeans(*lengths)).add(*lengths)

    def usual(self, model: str, engine: EngineProfile) -> UsualRequest:
        """Return the mean request for a model.

        Before the first request for the model, the prompt counts as empty
        and the response as long as the mean that the engine publishes.

        Examples
        --------
        >>> from cowslipstep.fleet import EngineProfile
        >>> engine = EngineProfile(9, (), 0.008, 0, 45900, 5, 5, 7, 150)
        >>> UsualRequests().usual('any', engine).output_tokens
        150
        """
        means = self._models.get(model)
        if (
            means is None
            or self._all_models is None
            or not self._all_models.output_tokens
        ):
            return UsualRequest(0, engine.usual_output_tokens)
        share = means.output_tokens / self._all_models.output_tokens
        return UsualRequest(
            means.prompt_tokens,
            share * engine.usual_output_tokens,
        )
