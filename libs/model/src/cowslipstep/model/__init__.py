"""Core types of cowslipstep: immutable values without behaviour of their own.

All other libraries of the workspace import this one; it imports none of
them.
"""

from cowslipstep.model._configuration import Configuration as Configuration
from cowslipstep.model._configuration import Model as Model
from cowslipstep.model._configuration import PlainService as PlainService
from cowslipstep.model._configuration import Rank as Rank
from cowslipstep.model._configuration import (
    VersionedConfiguration as VersionedConfiguration,
)
from cowslipstep.model._configuration import Workspace as Workspace
from cowslipstep.model._errors import CowslipstepError as CowslipstepError
from cowslipstep.model._errors import DocumentError as DocumentError
from cowslipstep.model._errors import RequestError as RequestError
from cowslipstep.model._fleet import Address as Address
from cowslipstep.model._fleet import Cell as Cell
from cowslipstep.model._fleet import Fencing as Fencing
from cowslipstep.model._fleet import Group as Group
from cowslipstep.model._fleet import Runner as Runner
from cowslipstep.model._messages import Acknowledgement as Acknowledgement
from cowslipstep.model._messages import Ask as Ask
from cowslipstep.model._messages import ConfigurationCopy as ConfigurationCopy
from cowslipstep.model._messages import ConfigurationQuery as ConfigurationQuery
from cowslipstep.model._messages import Grant as Grant
from cowslipstep.model._messages import GroupReadiness as GroupReadiness
from cowslipstep.model._messages import Heartbeat as Heartbeat
from cowslipstep.model._messages import Message as Message
from cowslipstep.model._messages import Refusal as Refusal
from cowslipstep.model._messages import Release as Release
from cowslipstep.model._messages import Renewal as Renewal
from cowslipstep.model._requests import Request as Request
from cowslipstep.model._verdicts import Completed as Completed
from cowslipstep.model._verdicts import MayHaveRun as MayHaveRun
from cowslipstep.model._verdicts import NotRun as NotRun
from cowslipstep.model._verdicts import Reason as Reason
from cowslipstep.model._verdicts import Verdict as Verdict
