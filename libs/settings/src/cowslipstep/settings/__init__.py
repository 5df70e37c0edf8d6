"""Settings of daemons and configuration documents, validated when read."""

from cowslipstep.settings._configuration import (
    check_configuration,
    format_configuration,
    parse_configuration,
    structure_configuration,
)
from cowslipstep.settings._converter import parse_json, structure, unstructure
from cowslipstep.settings._daemon import (
    DaemonSettings,
    PeerSettings,
    load_daemon_settings,
    parse_daemon_settings,
)
from cowslipstep.settings._serving import ServingBounds, ServingSettings
