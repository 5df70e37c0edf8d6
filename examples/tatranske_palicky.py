"""Tatranské Paličky orders desk: the fleet in central Slovakia.

Prints the configuration document::

    python examples/tatranske_palicky.py > tatranske_palicky.json
    cowslipstep check tatranske_palicky.json
"""

from __future__ import annotations

from cowslipstep.operator import (
    address_range,
    build_configuration,
    model,
    print_configuration,
    rank,
    runners,
    service,
    targets,
    workspace,
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


def trial_key(name: str) -> str:
    """Return the bearer key of a workspace for trials.

    In use, keys are made at random and only their digests stand here:
    ``workspace(name, key_sha256=[...])``.
    """
    return f'trial-{name}'


configuration = build_configuration(
    ranks=RANKS,
    workspaces=(
        *[
            workspace(
                name,
                keys=[trial_key(name)],
                tokens_per_s=30000,
                max_in_progress=80,
            )
            for name in LARGE_RESELLERS
        ],
        *[
            workspace(name, keys=[trial_key(name)], max_in_progress=40)
            for name in SMALL_DESKS
        ],
    ),
    models=[
        model('drafting', groups=15, hosts_per_group=4, slots_per_group=8),
    ],
    runners=(
        *runners(
            'banska-bystrica',
            address_range('10.30.1.10', HOSTS_PER_FAILURE_DOMAIN, ENGINE_PORT),
        ),
        *runners(
            'brezno',
            address_range('10.30.2.10', HOSTS_PER_FAILURE_DOMAIN, ENGINE_PORT),
        ),
        *runners(
            'zvolen',
            address_range('10.30.3.10', HOSTS_PER_FAILURE_DOMAIN, ENGINE_PORT),
        ),
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
    # Urgent service, uncertain orders and paid-for accelerators count most.
    targets=targets(
        urgent_answered_share=0.97,
        uncertain_share=0.0005,
        stranded_share=0.05,
    ),
)

if __name__ == '__main__':
    print_configuration(configuration)
