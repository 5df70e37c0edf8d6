"""Model of the fleet that a trace is replayed on."""

from __future__ import annotations

from attrs import frozen


@frozen
class FleetModel:
    """Sizes and speeds; the defaults are the fleet of today.

    Parameters
    ----------
    failure_domains
        Their names; each is one cell.
    groups_per_cell
        Groups of four hosts in each cell.
    slots
        Requests that a group runs at once.
    token_s
        Seconds between the tokens of one request.
    prefill_tokens_per_s
        Speed at which a prompt is read.
    daemons
        Entry daemons, spread over the failure domains.
    entry_weights
        Part of the requests that each entry daemon gets; empty for equal
        ones.
    models
        Models; each has its cells, with as many groups.
    dark_domains
        Failure domains whose groups are not ready.
    engine_priorities
        Whether engines are told the rank of a request.
    passes_uses
        Whether entries pass on what cells told of workspaces' use.
    """

    failure_domains: tuple[str, ...] = ('a', 'b', 'c')
    groups_per_cell: int = 5
    slots: int = 8
    token_s: float = 0.02
    prefill_tokens_per_s: float = 5000
    daemons: int = 9
    entry_weights: tuple[float, ...] = ()
    models: tuple[str, ...] = ('drafting',)
    dark_domains: tuple[str, ...] = ()
    engine_priorities: bool = False
    passes_uses: bool = True

    @property
    def slot_count(self) -> int:
        """Number of slots of all groups."""
        cells = len(self.failure_domains)
        return cells * self.groups_per_cell * self.slots

    def first_token_s(self, prompt_tokens: float) -> float:
        """Seconds from the start of a request to its first token."""
        return prompt_tokens / self.prefill_tokens_per_s + self.token_s

    def held_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Seconds for which a request holds its slot."""
        prefill_s = prompt_tokens / self.prefill_tokens_per_s
        return prefill_s + output_tokens * self.token_s
