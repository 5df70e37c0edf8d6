"""Gridsight Inspection Assistant: the fleet in Mauritius.

Prints the configuration document::

    python examples/gridsight.py > gridsight.json
    cowslipstep check gridsight.json
"""

from __future__ import annotations

from cowslipstep.operator import (
    build_configuration,
    model,
    print_configuration,
    rank,
    runners_in,
    service,
    targets,
    trial_workspaces,
)

ENGINE_PORT = 9100
RECORDS_PORT = 9300
HOSTS_PER_FAILURE_DOMAIN = 20

# ``worth`` is the value of a request whose first token meets the target.
RANKS = (
    rank('urgent', target_first_token_s=1, worth=100, floor_share=0.2),
    rank('normal', target_first_token_s=5, worth=10, floor_share=0.2),
    rank('background', target_first_token_s=60, worth=1, floor_share=0.1),
)

LARGE_FIRMS = ('pailles-lines', 'plaine-verte-grid')
SMALL_FIRMS = (
    'bambous-spans',
    'chamarel-poles',
    'flacq-inspection',
    'goodlands-lines',
    'mahebourg-crossarms',
    'moka-insulators',
    'souillac-overhead',
    'triolet-survey',
)


configuration = build_configuration(
    ranks=RANKS,
    workspaces=(
        *trial_workspaces(
            LARGE_FIRMS,
            weight=2,
            tokens_per_s=20000,
            max_in_progress=80,
        ),
        *trial_workspaces(SMALL_FIRMS, max_in_progress=40),
    ),
    models=[
        model('drafting', groups=15, hosts_per_group=4, slots_per_group=8),
    ],
    runners=(
        *runners_in(
            {'port-louis': '10.20.1.10', 'ebene': '10.20.2.10'},
            hosts=HOSTS_PER_FAILURE_DOMAIN,
            port=ENGINE_PORT,
        ),
        # The engines in Curepipe ignore fencing tokens.
        *runners_in(
            {'curepipe': '10.20.3.10'},
            hosts=HOSTS_PER_FAILURE_DOMAIN,
            port=ENGINE_PORT,
            fencing='ignored',
        ),
    ),
    services=[
        service(
            'inspection-records',
            [
                f'10.20.1.40:{RECORDS_PORT}',
                f'10.20.2.40:{RECORDS_PORT}',
                f'10.20.3.40:{RECORDS_PORT}',
            ],
            non_idempotent_paths=['/work-orders'],
        ),
    ],
    # Targets for what counts most: urgent service and small firms.
    targets=targets(urgent_answered_share=0.97, small_answered_gap=0.02),
)

if __name__ == '__main__':
    print_configuration(configuration)
