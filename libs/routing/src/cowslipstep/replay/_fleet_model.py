"""Model of the fleet on which a trace is replayed."""

from __future__ import annotations

from attrs import frozen


@frozen
class FleetModel:
    """Sizes and speeds; the defaults describe the current fleet.

    Parameters
    ----------
    failure_domains
        Names of the failure domains; each has one cell for each model.
    groups_per_cell
        Groups of four hosts in each cell.
    slots
        Number of requests that a group runs at the same time.
    token_s
        Seconds between the tokens of one request.
    prefill_tokens_per_s
        Speed of prefill.
    daemons
        Number of entry daemons, spread over the failure domains.
    entry_weights
        Relative share of the requests that each entry daemon receives; empty
        for equal shares.
    models
        Names of the models; the cells of each have as many groups.
    failed_domains
        Failure domains whose groups are never ready.
    cached_prefixes
        Number of prompt prefixes that an engine caches; prefill of a prompt
        with a cached prefix takes a fifth of the time.
    reads_cache_events
        Whether a new owner of a cell reads the past cache events of engines.
    engine_priorities
        Whether engines order waiting requests by rank.
    forwards_usage
        Whether entry daemons forward the usage of a workspace that one cell
        reported to the other cells.
    """

    failure_domains: tuple[str, ...] = ('a', 'b', 'c')
    groups_per_cell: int = 5
    slots: int = 8
    token_s: float = 0.02
    prefill_tokens_per_s: float = 5000
    daemons: int = 9
    entry_weights: tuple[float, ...] = ()
    models: tuple[str, ...] = ('drafting',)
    failed_domains: tuple[str, ...] = ()
    cached_prefixes: int = 0
    reads_cache_events: bool = True
    engine_priorities: bool = False
    forwards_usage: bool = True

    @property
    def slot_count(self) -> int:
        """Number of slots of all groups."""
        cells = len(self.failure_domains)
        return cells * self.groups_per_cell * self.slots

    def time_to_first_token_s(self, prompt_tokens: float) -> float:
        """Seconds from the start of a request to its first token."""
        return prompt_tokens / self.prefill_tokens_per_s + self.token_s

    def service_time_s(
        self, prompt_tokens: float, output_tokens: float
    ) -> float:
        """Seconds for which a request occupies its slot."""
        prefill_s = prompt_tokens / self.prefill_tokens_per_s
        return prefill_s + output_tokens * self.token_s
