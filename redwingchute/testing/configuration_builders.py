"""Builders of configurations for tests.

Each builder gives a valid record that differs from the default only in what
the caller passes.
"""

import hashlib

import attrs

from redwingchute.core import configuration

ACCOUNT = "huon"
BUDGET = "yield-books"
MODEL = "yield-small"
SERVICE = "records"
CLIENT_KEY = "client-key-huon"
ADMIN_KEY = "operator-key-ada"
BUDGET_KEY = "operator-key-bo"
READ_KEY = "operator-key-cy"


def hash_key(key: str) -> str:
    """Returns the SHA-256 hash of a key in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_upstream(
    name: str = "runner-1", port: int = 8001, zone: str = "huon"
) -> configuration.Upstream:
    """Returns an upstream on the loopback address."""
    return configuration.Upstream(name, f"127.0.0.1:{port}", zone)


def make_account(name: str = ACCOUNT) -> configuration.ClientAccount:
    """Returns a client account with one key named after it."""
    return configuration.ClientAccount(
        name=name,
        key_hashes=(hash_key(f"client-key-{name}"),),
        budget=BUDGET,
        models=(MODEL,),
        services=(SERVICE,),
        time_zone="Australia/Hobart",
        patience=(
            configuration.PatienceRule(
                configuration.WorkKind.INTERACTIVE,
                from_minute=360,
                until_minute=1_080,
                weekdays=(1, 2, 3, 4, 5),
                deadline_ms=8_000,
                priority=0,
            ),
        ),
    )


def make_operators() -> tuple[configuration.Operator, ...]:
    """Returns one operator for each role."""
    return (
        configuration.Operator(
            "ada", hash_key(ADMIN_KEY), configuration.Role.ADMIN
        ),
        configuration.Operator(
            "bo", hash_key(BUDGET_KEY), configuration.Role.BUDGET
        ),
        configuration.Operator(
            "cy", hash_key(READ_KEY), configuration.Role.READ
        ),
    )


def make_configuration(version: int = 1) -> configuration.Configuration:
    """Returns a small valid configuration with entries of every kind."""
    return configuration.Configuration(
        version=version,
        client_accounts=(make_account(),),
        budgets=(configuration.Budget(BUDGET),),
        models=(configuration.Model(MODEL, (make_upstream(),)),),
        services=(
            configuration.Service(
                SERVICE,
                (make_upstream("ledger-1", 8101),),
                is_repeatable=False,
            ),
        ),
        operators=make_operators(),
    )


def make_large_configuration(
    accounts: int, budgets: int, models: int, upstreams: int, zones: int
) -> configuration.Configuration:
    """Returns a configuration of a platform of the given size.

    Args:
      accounts: The number of client accounts.
      budgets: The number of budgets.
      models: The number of models.
      upstreams: The number of runners of all models together.
      zones: The number of availability zones that hold them.
    """
    base = make_configuration()
    account = attrs.evolve(base.client_accounts[0], key_hashes=())
    return attrs.evolve(
        base,
        client_accounts=tuple(
            attrs.evolve(account, name=f"account-{index}")
            for index in range(accounts)
        ),
        budgets=(
            base.budgets[0],
            *(
                configuration.Budget(f"budget-{index}")
                for index in range(budgets - 1)
            ),
        ),
        models=tuple(
            configuration.Model(
                MODEL if number == 0 else f"model-{number}",
                tuple(
                    make_upstream(
                        f"runner-{index}",
                        8_000 + index,
                        f"zone-{index % zones}",
                    )
                    for index in range(number, upstreams, models)
                ),
            )
            for number in range(models)
        ),
    )
