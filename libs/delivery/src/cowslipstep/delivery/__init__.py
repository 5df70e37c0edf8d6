"""Decisions on retries, resumption and at-most-once execution.

The library does no I/O and contains neither HTTP nor the encoding of
messages; its users pass in the clock.
"""

from cowslipstep.delivery._avoided_upstreams import upstreams_to_avoid
from cowslipstep.delivery._change_outcomes import (
    AlreadyAnswered,
    ChangeOutcome,
    ChangeRecorded,
    ClaimEntered,
    KeyInUse,
    KeyReused,
    SegmentFull,
)
from cowslipstep.delivery._entry_locations import (
    EntryLocation,
    ExpiredKey,
    FutureKey,
    KeyLocation,
    digest_of,
    entry_location,
    locate_key,
)
from cowslipstep.delivery._orders import (
    ClaimOrder,
    OrderChange,
    OrderClaim,
    OrderEntry,
    OrderResponse,
    RecordResponse,
    WithdrawClaim,
)
from cowslipstep.delivery._retries import (
    combine_verdicts,
    may_resume,
    may_retry,
    verdict_before_lookup,
)
from cowslipstep.delivery._retry_budget import RetryBudget
from cowslipstep.delivery._runner_loads import RunnerLoads
from cowslipstep.delivery._segments import (
    MAX_STORED_BODY_BYTES,
    AppliedChanges,
    Segment,
    apply_changes,
)
from cowslipstep.delivery._time_slots import (
    SHARD_COUNT,
    TIME_SLOT_S,
    expired_time_slots,
    segment_name,
    segment_names,
    segment_role,
    shard_role,
)
