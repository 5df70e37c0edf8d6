"""Tatranské Paličky orders desk: the fleet in central Slovakia.

Prints the configuration document::

    python examples/tatranske_palicky.py > tatranske_palicky.json
    cowslipstep check tatranske_palicky.json
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
ORDERS_PORT = 9300
HOSTS_PER_FAILURE_DOMAIN = 20

RANKS = (
    rank('quote', target_first_token_s=1, worth=200, floor_share=0.25),
    rank('reply', target_first_token_s=5, worth=20, floor_share=0.2),
    rank('summary', target_first_token_s=60, worth=1, floor_share=0.05),
)

LARGE_RESELLERS = ('reseller-zvolen', 'reseller-poprad')
SMALL_DESKS = (
    'clerk-handles',
    'clerk-heads',
    'clerk-threads',
    'cooperage-detva',
    'joiners-brezno',
    'joiners-hrinova',
    'reseller-lucenec',
    'reseller-martin',
)


FAILURE_DOMAINS = {
    'banska-bystrica': '10.30.1.10',
    'brezno': '10.30.2.10',
    'zvolen': '10.30.3.10',
}

configuration = build_configuration(
    ranks=RANKS,
    workspaces=(
        *trial_workspaces(
            LARGE_RESELLERS,
            tokens_per_s=30000,
            max_in_progress=80,
        ),
        *trial_workspaces(SMALL_DESKS, max_in_progress=40),
    ),
    models=[
        model('drafting', groups=15, hosts_per_group=4, slots_per_group=8),
    ],
    runners=runners_in(
        FAILURE_DOMAINS,
        hosts=HOSTS_PER_FAILURE_DOMAIN,
        port=ENGINE_PORT,
    ),
    services=[
        service(
            'order-book',
            [
                f'10.30.1.40:{ORDERS_PORT}',
                f'10.30.2.40:{ORDERS_PORT}',
                f'10.30.3.40:{ORDERS_PORT}',
            ],
            non_idempotent_paths=['/orders'],
        ),
    ],
    # Targets for what counts most: urgent service, few uncertain orders, and
    # few accelerators that are paid for and stranded.
    targets=targets(
        urgent_answered_share=0.97,
        uncertain_share=0.0005,
        stranded_share=0.05,
    ),
)

if __name__ == '__main__':
    print_configuration(configuration)
