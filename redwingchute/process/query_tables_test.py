"""Tests of the tables that answer operators' queries."""

from redwingchute.core import data
from redwingchute.process import incarnations
from redwingchute.process import operator_ports
from redwingchute.process import query_tables


def test_unaccounted_tokens_are_listed_with_their_host() -> None:
    process = incarnations.make_process_incarnation(lambda bits: 7)
    holder = incarnations.HolderIncarnations(process).make_incarnation()
    balance = data.BudgetBalance(
        "yield-books",
        100,
        0,
        0,
        0,
        50,
        (data.HolderBalance(holder, 0, 0, 50),),
    )
    host = data.Host("huon-1", "huon", "127.0.0.1:9001", process)
    table = query_tables.tabulate_unaccounted(
        operator_ports.Balances((balance,)), (host,)
    )
    assert table.rows == (("yield-books", str(holder), "huon-1", 50),)
