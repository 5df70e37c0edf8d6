"""Usual lengths of the requests for each model."""

from __future__ import annotations

from attrs import define, field, frozen

from cowslipstep.fleet import EngineProfile

# Weight of one request in the means: about the last fifty count.
_SAMPLE_WEIGHT = 0.02


@define
class _Means:
    prompt_tokens: float
    output_tokens: float

    def add(self, prompt_tokens: float, output_tokens: float) -> None:
        """Take one request into the means."""
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
    """Follows the lengths of requests by model.

    Callers tell how long an answer may become, which may be far from how
    long it is; the engine publishes the mean over all models. So the told
    lengths only divide that mean among the models.
    """

    _all: _Means | None = None
    _models: dict[str, _Means] = field(factory=dict)

    def add(self, model: str, prompt_tokens: int, output_tokens: int) -> None:
        """Note a request."""
        lengths = (prompt_tokens, output_tokens)
        if self._all is None:
            self._all = _Means(*lengths)
        self._all.add(*lengths)
        self._models.setdefault(model, _Means(*lengths)).add(*lengths)

    def usual(self, model: str, engine: EngineProfile) -> UsualRequest:
        """Return the usual request for a model.

        Examples
        --------
        >>> from cowslipstep.fleet import EngineProfile
        >>> engine = EngineProfile(9, (), 0.008, 0, 45900, 5, 5, 7, 150)
        >>> UsualRequests().usual('any', engine).output_tokens
        150
        """
        means = self._models.get(model)
        if means is None or self._all is None or not self._all.output_tokens:
            return UsualRequest(0, engine.usual_output_tokens)
        share = means.output_tokens / self._all.output_tokens
        return UsualRequest(
            means.prompt_tokens,
            share * engine.usual_output_tokens,
        )
