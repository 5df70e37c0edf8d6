"""Client of the platform's object API: versions, conditions and watches."""

from cowslipstep.platform._client import PlatformClient as PlatformClient
from cowslipstep.platform._objects import ObjectKey as ObjectKey
from cowslipstep.platform._objects import ObjectMissing as ObjectMissing
from cowslipstep.platform._objects import (
    PlatformUnavailable as PlatformUnavailable,
)
from cowslipstep.platform._objects import StoredObject as StoredObject
from cowslipstep.platform._objects import VersionConflict as VersionConflict
