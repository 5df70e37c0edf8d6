"""Client of the platform's object API: versions, conditions and watches."""

from cowslipstep.platform._client import PlatformClient
from cowslipstep.platform._host_list import HostList, HostListClient
from cowslipstep.platform._objects import (
    ObjectKey,
    ObjectMissing,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
)
