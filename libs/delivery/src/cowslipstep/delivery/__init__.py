"""Decisions on retries, resumption and at-most-once execution.

Nothing here knows sockets, HTTP or the encoding of messages; clocks are
passed in.
"""

from cowslipstep.delivery._avoidance import choose_avoided
from cowslipstep.delivery._budget import RetryBudget
from cowslipstep.delivery._entry_results import (
    AlreadyAnswered,
    ChangeRecorded,
    ClaimEntered,
    EntryResult,
    KeyInUse,
    KeyReused,
    SegmentFull,
)
from cowslipstep.delivery._keys import (
    ExpiredKey,
    FutureKey,
    KeyPlace,
    SegmentPlace,
    digest_of,
    locate_key,
    segment_place,
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
    before_ledger,
    combine_tries,
    may_resume,
    may_retry,
)
from cowslipstep.delivery._runners import RunnerLoads
from cowslipstep.delivery._segments import (
    MAX_ANSWER_BYTES,
    Applied,
    Segment,
    apply_changes,
)
from cowslipstep.delivery._slots import (
    SHARDS,
    SLOT_S,
    expired_slots,
    segment_role,
    shard_role,
    slot_segment,
    slot_segments,
)
