"""Client of the platform's object API: conditional changes and watches."""

from cowslipstep.platform._budget import (
    BudgetLimits,
    CallBudget,
    PlatformLimits,
    Priority,
    priority_of,
)
from cowslipstep.platform._call_hooks import CallHooks
from cowslipstep.platform._calls import (
    CALL_TIMEOUT_S,
    CallOutcome,
    CallRecord,
    PlatformCall,
)
from cowslipstep.platform._checked_http import (
    CheckedConnection,
    CheckedPool,
    CheckedPools,
    CheckedResponse,
)
from cowslipstep.platform._client import PlatformClient
from cowslipstep.platform._conditional_change import ChangeOutcomeUnknown
from cowslipstep.platform._dialect import (
    KindChanges,
    ObjectChange,
    ObjectPage,
    StoreCalls,
    StoreDialect,
    StoreResponses,
)
from cowslipstep.platform._field_lines import check_field
from cowslipstep.platform._host_list import HostList, read_host_list
from cowslipstep.platform._json_documents import body_text
from cowslipstep.platform._objects import (
    HistoryGone,
    ObjectKey,
    ObjectMissing,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
)
from cowslipstep.platform._status_lines import parse_status_line
from cowslipstep.platform._store_eras import era_of, revision_of
from cowslipstep.platform._watch_doubts import (
    WatchDoubt,
    WatchDoubts,
    WatchGivenUp,
)
