"""Gridsight Inspection Assistant: the fleet in Mauritius.

Prints the configuration document::

    python examples/gridsight.py > gridsight.json
    cowslipstep check gridsight.json
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
RECORDS_PORT = 9300
HOSTS_PER_FAILURE_DOMAIN = 20

# The worth is that of a request whose first token comes within the target.
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
                weight=2,
                tokens_per_s=20000,
                max_in_progress=80,
            )
            for name in LARGE_FIRMS
        ],
        *[
            workspace(name, keys=[trial_key(name)], max_in_progress=40)
            for name in SMALL_FIRMS
        ],
    ),
    models=[
        model('drafting', groups=15, hosts_per_group=4, slots_per_group=8),
    ],
    runners=(
        *runners(
            'port-louis',
            address_range('10.20.1.10', HOSTS_PER_FAILURE_DOMAIN, ENGINE_PORT),
        ),
        *runners(
            'ebene',
            address_range('10.20.2.10', HOSTS_PER_FAILURE_DOMAIN, ENGINE_PORT),
        ),
        *runners(
            'curepipe',
            address_range('10.20.3.10', HOSTS_PER_FAILURE_DOMAIN, ENGINE_PORT),
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
    # Urgent service and small firms count most.
    targets=targets(urgent_answered_share=0.97, small_answered_gap=0.02),
)

if __name__ == '__main__':
    print_configuration(configuration)
