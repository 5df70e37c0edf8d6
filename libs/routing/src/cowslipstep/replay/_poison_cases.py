"""Cases of poisoned prompts, and what is seen in their replay."""

from __future__ import annotations

from attrs import define, frozen


@frozen
class PoisonCase:
    """What is replayed.

    Parameters
    ----------
    seed
        Seed of all random choices.
    poisoned_share
        Share of the requests that hold a harmful part.
    daemons
        Number of daemons.
    evidence_delay_s
        Longest time until a daemon learns what another one has recorded.
    common_parts
        Parts of a prompt that other requests share.
    harmful_parts
        Number of harmful parts; each poisoned request holds one.
    with_companion
        Whether harmful parts come with a part that is sound, which sound
        requests hold, too.
    other_crash_period_s
        Mean time between upstreams that end for another cause; zero for none.
    batch
        Requests that may wait at one upstream.
    requests_per_s
        Rate of the requests.
    upstreams
        Number of upstreams.
    calm_s
        Time before the first poisoned request.
    duration_s
        Time that is replayed.
    """

    seed: int
    poisoned_share: float = 0.05
    daemons: int = 3
    evidence_delay_s: float = 0.5
    common_parts: int = 3
    harmful_parts: int = 1
    with_companion: bool = False
    other_crash_period_s: float = 0
    batch: int = 16
    requests_per_s: float = 60
    upstreams: int = 8
    calm_s: float = 5
    duration_s: float = 60


@define
class PoisonFigures:
    """What was seen in a replay.

    Attributes
    ----------
    crashes
        Upstreams that a harmful part ended.
    late_poisoned
        Poisoned requests that reached upstreams later than 3 s after the
        fifth crash.
    sound
        Sound requests from 6 s after the fifth crash on, or the last one.
    sound_refused
        Of these, those that were refused for their prompts.
    refused
        Sound requests that were refused for their prompts, over all.
    wrong_verdict_s
        Longest time for which a daemon refused parts that are all sound.
    """

    crashes: int = 0
    late_poisoned: int = 0
    sound: int = 0
    sound_refused: int = 0
    refused: int = 0
    wrong_verdict_s: float = 0

    @property
    def refused_share(self) -> float:
        """Share of the judged sound requests that were refused."""
        return self.sound_refused / max(1, self.sound)
