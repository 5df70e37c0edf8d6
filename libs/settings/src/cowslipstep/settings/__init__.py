"""Settings of daemons and configuration documents, checked when read."""

from cowslipstep.settings._configuration import (
    check_configuration as check_configuration,
)
from cowslipstep.settings._configuration import (
    format_configuration as format_configuration,
)
from cowslipstep.settings._configuration import (
    parse_configuration as parse_configuration,
)
from cowslipstep.settings._converter import parse_json as parse_json
from cowslipstep.settings._converter import structure as structure
from cowslipstep.settings._converter import unstructure as unstructure
from cowslipstep.settings._daemon import DaemonSettings as DaemonSettings
from cowslipstep.settings._daemon import PeerSettings as PeerSettings
from cowslipstep.settings._daemon import (
    load_daemon_settings as load_daemon_settings,
)
from cowslipstep.settings._daemon import (
    parse_daemon_settings as parse_daemon_settings,
)
