"""The interface of a scenario to the fleet that it runs on.

There are two backends: `scenario_manual` runs the daemons' code on a manual
clock, `scenario_live` runs real processes on loopback.
"""

import abc
import hashlib
from typing import Any

from redwingchute.connection import http_client
from redwingchute.core import configuration
from redwingchute.testing import scenario_requests
from redwingchute.testing import scenario_steps as steps
from redwingchute.version import changes
from redwingchute.version import loader

# The length of every completion of the stand-in engines.
COMPLETION_TOKENS = 30
MAX_OUTPUT_TOKENS = 40
# The tokens that a call of a plain service costs.
CALL_PRICE = 5
SHARD_COUNT = 2
FLEET_KEY = "scenario-fleet-key"


class Backend(abc.ABC):
    """The processes of one scenario; a context manager that ends them."""

    @abc.abstractmethod
    async def __aenter__(self) -> "Backend":
        """Starts stand-ins, publishes the configuration, starts routers."""

    @abc.abstractmethod
    async def __aexit__(self, *unused: Any) -> None:
        """Ends all processes."""

    @abc.abstractmethod
    async def apply_lifecycle(self, step: steps.Lifecycle) -> None:
        """Starts, stops or signals a router's process."""

    @abc.abstractmethod
    async def set_cuts(self, pairs: frozenset[frozenset[str]]) -> None:
        """Replaces the cut pairs of routers, upstreams and the platform."""

    @abc.abstractmethod
    async def post_control(self, name: str, path: str, patch: Any) -> Any:
        """Posts to a stand-in's control path and returns its state."""

    @abc.abstractmethod
    async def read_control(self, name: str) -> Any:
        """Returns the state that a stand-in's control path shows."""

    @abc.abstractmethod
    async def read_streams(self) -> dict[str, list[bytes]]:
        """Returns all records ever appended, by stream."""

    @abc.abstractmethod
    async def trim(self) -> None:
        """Trims the older records of each stream."""

    @abc.abstractmethod
    async def sleep(self, duration_ms: int) -> None:
        """Waits for a duration."""

    @abc.abstractmethod
    def spawn_request(self, result: scenario_requests.RequestResult) -> None:
        """Sends a request without waiting for its end."""

    @abc.abstractmethod
    def spawn_command(self, result: scenario_requests.CommandResult) -> None:
        """Sends an operator's command without waiting for its end."""

    @abc.abstractmethod
    async def query(self, router: str, command: str) -> bytes | None:
        """Returns the response to a command, or None when it failed."""

    @abc.abstractmethod
    def list_errors(self) -> list[str]:
        """Returns the errors of the processes so far."""


def make_configuration(
    scenario: steps.Scenario, addresses: dict[str, http_client.Address]
) -> configuration.Configuration:
    """Returns the first configuration of a scenario.

    Args:
      scenario: The scenario.
      addresses: The address of each upstream.
    """
    engines = _group_pools(scenario, is_engine=True)
    services = _group_pools(scenario, is_engine=False)
    return configuration.Configuration(
        client_accounts=tuple(
            configuration.ClientAccount(
                name=account.name,
                key_hashes=(
                    _hash(scenario_requests.make_account_key(account.name)),
                ),
                budget=account.budget,
                models=tuple(engines),
                services=tuple(services),
            )
            for account in scenario.accounts
        ),
        budgets=tuple(
            configuration.Budget(account.budget, account.reserve_share)
            for account in scenario.accounts
        ),
        models=tuple(
            configuration.Model(
                name,
                _make_upstreams(members, addresses),
                max_output_tokens=MAX_OUTPUT_TOKENS,
            )
            for name, members in engines.items()
        ),
        services=tuple(
            configuration.Service(
                name,
                _make_upstreams(members, addresses),
                is_repeatable=all(each.is_repeatable for each in members),
                call_price=CALL_PRICE,
            )
            for name, members in services.items()
        ),
        operators=(
            configuration.Operator(
                "ops",
                _hash(scenario_requests.get_operator_key()),
                configuration.Role.ADMIN,
            ),
        ),
    )


def make_initial_change(
    initial: configuration.Configuration,
) -> changes.ConfigurationChange:
    """Returns the first record, which puts a configuration into force."""
    document = loader.dump_configuration(initial)
    return changes.ConfigurationChange(
        record_id=b"scenario-config!",
        author="scenario",
        reason="first configuration",
        made_at_ms=0,
        expected_version=0,
        change=changes.ReplaceDocument(loader.compress_document(document)),
    )


def _group_pools(
    scenario: steps.Scenario, is_engine: bool
) -> dict[str, list[steps.Upstream]]:
    """Returns the engines or the plain services by their pool's name."""
    pools: dict[str, list[steps.Upstream]] = {}
    for upstream in scenario.upstreams:
        if upstream.is_engine == is_engine:
            pools.setdefault(upstream.pool, []).append(upstream)
    return pools


def _make_upstreams(
    members: list[steps.Upstream], addresses: dict[str, http_client.Address]
) -> tuple[configuration.Upstream, ...]:
    """Returns the configuration of a pool's members."""
    return tuple(
        configuration.Upstream(each.name, str(addresses[each.name]), each.zone)
        for each in members
    )


def _hash(key: str) -> str:
    """Returns the hash of a bearer key, as configurations hold it."""
    return hashlib.sha256(key.encode()).hexdigest()
