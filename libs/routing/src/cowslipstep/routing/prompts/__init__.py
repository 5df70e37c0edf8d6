"""Prompts that end the upstreams that begin to respond to them.

Load pattern: some requests share a part of their prompts, and any upstream that
begins to write a response to one of them ends at once, with all that it serves.
Retries and callers send such requests on to the next upstream. Sound requests
share their other parts with them and are cut off beside them.
"""

from cowslipstep.routing.prompts._combinations import (
    ended_alone,
    harmful_combinations,
)
from cowslipstep.routing.prompts._failures import (
    Combination,
    PromptFailure,
    harmful_in,
    is_harmful,
)
from cowslipstep.routing.prompts._guard import PromptGuard, shared_combinations
from cowslipstep.routing.prompts._known_parts import KnownParts
from cowslipstep.routing.prompts._records import (
    EVIDENCE_LIFETIME_S,
    RecordedFailure,
    active_failures,
)
from cowslipstep.routing.prompts._trials import TrialChance, TrialSchedule
