"""Measures marginal costs: memory, bytes and time per additional item.

The marginal costs (slopes) are those of the daemons' decision code and codec.
`build/slopes.json` gets every figure with its unit; docs/CAPACITY.md multiplies
them by the numbers of the target size. The run is seeded and takes a few
minutes.
"""

import base64
from collections.abc import Callable
import gc
import json
import pathlib
import platform
import random
import statistics
import time
import tracemalloc
from typing import Any

import attrs
import slopes_processes

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import fleet
from redwingchute.process import membership
from redwingchute.process.ledger import fold
from redwingchute.process.ledger import holder
from redwingchute.process.ledger import key_store
from redwingchute.process.ledger import owner
from redwingchute.testing import ledger_pair
from redwingchute.version import change_fold
from redwingchute.version import changes
from redwingchute.version import loader
from redwingchute.wire import registry

_OUTPUT_PATH = pathlib.Path("build/slopes.json")
_SEED = 20_261_203
_REPEATS = 5
# The target size, for which docs/CAPACITY.md computes the cost.
_TARGET_ACCOUNTS = 240
_TARGET_BUDGETS = 80_000
_TARGET_MODELS = 6
_TARGET_RUNNERS = 4_500
_TARGET_DAEMONS = 540
_ZONES = 7
_NOW_MS = 1_800_000_000_000


def measure_bytes_per_item(
    build: Callable[[int], object], small: int, large: int
) -> float:
    """Returns the memory per additional item, in bytes.

    Args:
      build: Returns a structure with a given number of items.
      small: The smaller number of items.
      large: The larger number of items.
    """
    sizes = []
    for count in (small, large):
        gc.collect()
        tracemalloc.start()
        structure = build(count)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        sizes.append(size)
        del structure
    return (sizes[1] - sizes[0]) / (large - small)


def measure_call_us(run: Callable[[], object], count: int) -> float:
    """Returns the processor time of a call in microseconds.

    It is the median of several runs, each of which averages `count` calls.
    """
    times = []
    for _ in range(_REPEATS):
        started_ns = time.process_time_ns()
        for _ in range(count):
            run()
        times.append((time.process_time_ns() - started_ns) / count / 1_000)
    return statistics.median(times)


def make_account(number: int) -> configuration.ClientAccount:
    """Returns a client account like those of the target size."""
    return configuration.ClientAccount(
        name=f"account-{number:03}",
        key_hashes=(f"{number:064x}", f"{number + 10_000:064x}"),
        budget=f"budget-{number:05}",
        models=tuple(f"model-{index}" for index in range(_TARGET_MODELS)),
        services=("certificates",),
        time_zone="Australia/Hobart",
        patience=tuple(
            configuration.PatienceRule(
                kind, 0, 1_440, (1, 2, 3, 4, 5, 6, 7), 60_000 + number, index
            )
            for index, kind in enumerate(configuration.WorkKind)
        ),
    )


def make_configuration(
    accounts: int, budgets: int, runners: int
) -> configuration.Configuration:
    """Returns a configuration with given numbers of items."""
    runners_per_model = runners // _TARGET_MODELS
    return configuration.Configuration(
        version=1,
        client_accounts=tuple(make_account(i) for i in range(accounts)),
        budgets=tuple(
            configuration.Budget(f"budget-{i:05}") for i in range(budgets)
        ),
        models=tuple(
            configuration.Model(
                f"model-{m}",
                tuple(
                    configuration.Upstream(
                        f"runner-{m}-{i:04}",
                        f"10.{m}.{i // 250}.{i % 250 + 1}:8000",
                        f"zone-{i % _ZONES}",
                    )
                    for i in range(runners_per_model)
                ),
            )
            for m in range(_TARGET_MODELS)
        ),
        services=(configuration.Service("certificates", ()),),
    )


def make_fold(budgets: int, holders: int) -> fold.ShardFold:
    """Returns a shard's fold with credited budgets and holders of each.

    Args:
      budgets: The number of budgets.
      holders: The number of holders of each budget; each has a grant of each
        kind.
    """
    shard_fold = fold.ShardFold()
    shard_fold.apply(0, data.Takeover(fold.make_record_id(1, 1), 1, 1, "h"))
    for number in range(budgets):
        name = f"budget-{number:05}"
        entries: list[data.LedgerEntry] = [
            data.Credit(name, f"invoice-{number}", 10**9, "ops", "top-up")
        ]
        for holder_number in range(holders):
            for kind in data.GrantKind:
                entries.append(
                    data.Grant(name, 10**9 + holder_number, kind, 1_000)
                )
        record_id = fold.make_record_id(1, number + 2)
        shard_fold.apply(
            number + 1, data.Batch(record_id, 1, 1, tuple(entries))
        )
    return shard_fold


def make_key_table(count: int) -> key_store.PackedTable:
    """Returns a table of settled idempotency keys."""
    random_source = random.Random(_SEED)
    table = key_store.PackedTable()
    for _ in range(count):
        settled = key_store.SettledKey(random_source.randbytes(8), 1, 0)
        table.set(random_source.randbytes(16), settled)
    return table


def make_holder(budgets: int) -> holder.Holder:
    """Returns a holder with a given number of registered budgets."""
    budget_holder = holder.Holder(0, 7, "huon-1", _NOW_MS)
    for number in range(budgets):
        budget_holder.register_budget(f"budget-{number:05}", _NOW_MS)
    return budget_holder


def make_host(number: int) -> data.Host:
    """Returns a host of the target fleet."""
    return data.Host(
        f"router-{number:03}",
        f"zone-{number % _ZONES}",
        f"10.9.{number // 250}.{number % 250 + 1}:8082",
        2**60 + number,
    )


def make_membership(hosts: int) -> membership.Membership:
    """Returns one router's view of a fleet with a given number of hosts."""
    view = membership.Membership(
        make_host(0),
        membership.MembershipTiming(),
        random.Random(_SEED),
        _NOW_MS,
    )
    states = tuple(
        fleet.MemberState(make_host(number), _NOW_MS + number)
        for number in range(1, hosts)
    )
    view.receive_list("x", fleet.MemberList(states, False), _NOW_MS)
    return view


def measure_memory() -> dict[str, float]:
    """Returns the memory per additional item of each kind, in bytes."""
    return {
        "client_account": measure_bytes_per_item(
            lambda n: [make_account(i) for i in range(n)], 60, 240
        ),
        "budget_policy_in_configuration": measure_bytes_per_item(
            lambda n: make_configuration(1, n, 0), 1_000, 5_000
        ),
        "runner_in_configuration": measure_bytes_per_item(
            lambda n: make_configuration(1, 1, n), 600, 4_500
        ),
        "budget_in_fold": measure_bytes_per_item(
            lambda n: make_fold(n, 0), 200, 1_000
        ),
        "lease_and_reserve_of_one_holder_in_fold": measure_bytes_per_item(
            lambda n: make_fold(1, n), 200, 1_000
        ),
        "budget_position_of_a_holder": measure_bytes_per_item(
            make_holder, 200, 1_000
        ),
        "sibling_in_membership": measure_bytes_per_item(
            make_membership, 140, _TARGET_DAEMONS
        ),
        "settled_key_packed": measure_bytes_per_item(
            make_key_table, 45_000, 90_000
        ),
    }


def measure_heartbeat() -> dict[str, float]:
    """Returns the cost of a heartbeat and its reply at the target size."""
    wire_codec = registry.make_codec()
    sender = make_membership(_TARGET_DAEMONS)
    receiver = make_membership(_TARGET_DAEMONS)
    repair = receiver.receive_list(
        "router-001", fleet.MemberList((), True), _NOW_MS
    )
    quiet = fleet.Heartbeat(
        fleet.MemberState(make_host(1), _NOW_MS + 1), False, 12_345
    )
    # The reply has the receiver's digest. A heartbeat with the same digest
    # causes no repair.
    reply = receiver.receive_heartbeat(quiet, _NOW_MS)[0].record
    quiet = attrs.evolve(quiet, digest=reply.digest)
    encoded = wire_codec.encode(quiet)
    busy_state = fleet.MemberState(make_host(2), _NOW_MS + 2)
    busy = fleet.Heartbeat(quiet.sender, False, 12_345, (busy_state,) * 8)

    def exchange() -> None:
        received = wire_codec.decode(wire_codec.encode(quiet))
        replies = receiver.receive_heartbeat(received.record, _NOW_MS)
        for reply in replies:
            wire_codec.decode(wire_codec.encode(reply.record))

    return {
        "bytes_quiet": len(encoded),
        "bytes_with_8_updates": len(wire_codec.encode(busy)),
        "us_for_one_and_its_answer": measure_call_us(exchange, 200),
        "neighbours": len(sender.neighbours),
        "bytes_full_repair": sum(
            len(wire_codec.encode(part.record)) for part in repair
        ),
    }


def measure_settlements() -> dict[str, Any]:
    """Returns the cost of a settlement on each link, by batch size."""
    rows = {}
    for batch in (1, 8, 22, 44, 128):
        pair = ledger_pair.LedgerPair("yield-books")
        pair.run_requests(batch, 200)
        # A copy of the traffic counters before the measured rounds.
        start = ledger_pair.LinkTraffic(
            **{
                name: getattr(pair.link_traffic, name)
                for name in ledger_pair.LinkTraffic.__slots__
                if not name.startswith("_")
            }
        )
        rounds = max(4, 400 // batch)
        started_ns = time.process_time_ns()
        for _ in range(rounds):
            pair.run_requests(batch, 200)
        elapsed_us = (time.process_time_ns() - started_ns) / 1_000
        settlements = rounds * batch
        used = pair.link_traffic
        rows[str(batch)] = {
            "settlements": settlements,
            "bytes_router_to_owner": (used.to_owner - start.to_owner)
            / settlements,
            "bytes_owner_to_router": (used.to_holder - start.to_holder)
            / settlements,
            "bytes_owner_to_log": (used.to_log - start.to_log) / settlements,
            "bytes_log_to_owner_base64": (used.from_log - start.from_log)
            * (4 / 3)
            / settlements,
            "calls": (used.call_count - start.call_count) / settlements,
            "appends": (used.append_count - start.append_count) / settlements,
            "us_holder_owner_and_codec": elapsed_us / settlements,
        }
    return rows


def measure_lease_renewal() -> dict[str, float]:
    """Returns the cost of a lease renewal: call, reply and log entry."""
    wire_codec = registry.make_codec()
    ask = data.Ask("budget-00017", 4_000, 8_000, 1_234.5)
    granted = data.Granted("budget-00017", 4_000, 0, 10**6, 5_000, 4_000, 8_000)
    call = data.LedgerCall(17, 2**60, "router-017", asks=(ask,))
    reply = data.LedgerReply(
        17, 4, data.CallStatus.HANDLED, "router-018", grants=(granted,)
    )
    grant = data.Grant("budget-00017", 2**60, data.GrantKind.LEASE, 4_000)

    def make_batch(count: int) -> data.Batch:
        return data.Batch(fold.make_record_id(1, 2), 1, 1, (grant,) * count)

    def encode_and_decode() -> None:
        for record in (call, reply, make_batch(1)):
            wire_codec.decode(wire_codec.encode(record))

    one = len(wire_codec.encode(make_batch(1)))
    many = len(wire_codec.encode(make_batch(101)))
    return {
        "bytes_call": len(wire_codec.encode(call)),
        "bytes_reply": len(wire_codec.encode(reply)),
        "bytes_grant_entry_in_batch": (many - one) / 100,
        "bytes_batch_envelope": one - (many - one) / 100,
        "us_codec_of_all_three": measure_call_us(encode_and_decode, 300),
    }


def measure_change() -> dict[str, Any]:
    """Returns the cost of a configuration change, by configuration size."""
    wire_codec = registry.make_codec()
    rows: dict[str, Any] = {}
    sizes = {
        "today": (10, 10, 18),
        "target_without_budgets": (_TARGET_ACCOUNTS, 240, _TARGET_RUNNERS),
        "target": (_TARGET_ACCOUNTS, _TARGET_BUDGETS, _TARGET_RUNNERS),
    }
    for name, (accounts, budgets, runners) in sizes.items():
        document = loader.dump_configuration(
            make_configuration(accounts, budgets, runners)
        )
        packed = loader.compress_document(document)
        whole = changes.ConfigurationChange(
            b"0" * 16, "ops", "start", 0, 0, changes.ReplaceDocument(packed)
        )
        state = change_fold.ConfigurationFold()
        started_ns = time.process_time_ns()
        state.apply(change_fold.StreamRecord(0, whole))
        load_ms = (time.process_time_ns() - started_ns) / 10**6
        times = []
        for number in range(1, _REPEATS + 1):
            change = changes.ConfigurationChange(
                number.to_bytes(16, "big"),
                "ops",
                "more reserve",
                _NOW_MS,
                0,
                changes.SetReserve("budget-00003", 0.1 * number),
            )
            started_ns = time.process_time_ns()
            state.apply(change_fold.StreamRecord(number, change))
            times.append((time.process_time_ns() - started_ns) / 1_000)
        verdict = state.find_verdict(whole.record_id)
        rows[name] = {
            "accounts": accounts,
            "budgets": budgets,
            "runners": runners,
            "first_verdict": None if verdict is None else verdict.code.name,
            "version_in_force": state.current.version,
            "bytes_document_packed": len(packed),
            "bytes_one_change": len(wire_codec.encode(change)),
            "ms_load_whole": load_ms,
            "us_one_change": statistics.median(times),
        }
    return rows


def measure_appends() -> dict[str, float]:
    """Returns the owners' commit interval and maximum rate of appends.

    Both are listed by the number of shards; the rate is that of all shards.
    """
    rates = {}
    for shards in (8, 16, 64, 270, _TARGET_DAEMONS):
        policy = owner.OwnerPolicy(shard_count=shards)
        rates[f"{shards}_shards_commit_interval_ms"] = float(
            policy.commit_interval_ms
        )
        rates[f"{shards}_shards_appends_per_s"] = (
            1_000 * shards / policy.commit_interval_ms
        )
    return rates


def measure_log_read() -> dict[str, float]:
    """Returns the cost of base64, the encoding of records in log reads.

    The time under `us_decode_2000_bytes` covers encoding and decoding.
    """
    body = random.Random(_SEED).randbytes(2_000)
    return {
        "us_decode_2000_bytes": measure_call_us(
            lambda: base64.b64decode(base64.b64encode(body)), 500
        )
    }


def main() -> None:
    """Runs all measurements and writes the figures as JSON."""
    started_s = time.monotonic()
    sections: dict[str, Callable[[], Any]] = {
        "resident": slopes_processes.measure_resident,
        "memory_bytes_each": measure_memory,
        "heartbeat": measure_heartbeat,
        "lease_renewal": measure_lease_renewal,
        "settlement_by_batch": measure_settlements,
        "configuration_change": measure_change,
        "appends": measure_appends,
        "log_read": measure_log_read,
        "idle_ledger_links": slopes_processes.measure_idle_links,
        "idle_routers": slopes_processes.measure_idle_routers,
    }
    results: dict[str, Any] = {
        "machine": f"{platform.machine()}, Python {platform.python_version()}",
        "seed": _SEED,
    }
    for name, measure in sections.items():
        results[name] = measure()
        print(f"{name}: {json.dumps(results[name], indent=2)}", flush=True)
    results["elapsed_s"] = time.monotonic() - started_s
    _OUTPUT_PATH.parent.mkdir(exist_ok=True)
    _OUTPUT_PATH.write_text(json.dumps(results, indent=2) + "\n")
    print(f"written to {_OUTPUT_PATH} in {results['elapsed_s']:.0f} s")


if __name__ == "__main__":
    main()
