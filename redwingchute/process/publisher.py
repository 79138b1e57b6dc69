"""Publishes a configuration document directly to the platform's log.

This bootstraps a fleet: before the first configuration, no router has operator
keys to authenticate a command with. Later changes use the command language.
"""

import asyncio
import pathlib
import secrets
import sys
import time

from redwingchute.connection import http_client
from redwingchute.process.ledger import log_client
from redwingchute.process.ledger import log_outcomes
from redwingchute.version import change_fold
from redwingchute.version import changes
from redwingchute.version import loader
from redwingchute.wire import codec
from redwingchute.wire import registry

_RECORD_ID_BYTES = 16
_PAGE_RECORDS = 500
_EXIT_REFUSED = 1
_EXIT_BAD_DOCUMENT = 2


def run_publish(path: str, platform: str, author: str, reason: str) -> int:
    """Publishes a document and prints the verdict.

    Args:
      path: The file of the JSON document.
      platform: The `ip:port` of the platform's log service.
      author: The author in the audit trail.
      reason: The reason in the audit trail.

    Returns:
      The exit status: 0 for success, 1 if the document was refused or the
      outcome is unknown, 2 for an invalid document or address.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        address = http_client.Address.parse(platform)
    except (OSError, ValueError) as error:
        print(f"{error}", file=sys.stderr)
        return _EXIT_BAD_DOCUMENT
    _, findings = loader.load_configuration(text, 0)
    for finding in findings:
        print(f"{path}: {finding.place}: {finding.message}", file=sys.stderr)
    if findings:
        return _EXIT_BAD_DOCUMENT
    change = changes.ConfigurationChange(
        record_id=secrets.token_bytes(_RECORD_ID_BYTES),
        author=author,
        reason=reason,
        made_at_ms=time.time_ns() // 1_000_000,
        expected_version=0,
        change=changes.ReplaceDocument(loader.compress_document(text)),
    )
    verdict = asyncio.run(_publish(change, address))
    if verdict is None:
        print(
            "The log is unreachable; the outcome is unknown.", file=sys.stderr
        )
        return _EXIT_REFUSED
    if verdict.code is not changes.ChangeCode.APPLIED:
        print(f"Refused: {verdict.message}", file=sys.stderr)
        return _EXIT_REFUSED
    print(f"version {verdict.version} is published")
    return 0


async def _publish(
    change: changes.ConfigurationChange, address: http_client.Address
) -> changes.ChangeVerdict | None:
    """Appends the change and reads the stream up to its verdict."""
    wire_codec = registry.make_codec()
    async with http_client.ClientPool() as pool:
        log = log_client.LogClient(pool, address)
        await log.append(changes.STREAM, wire_codec.encode(change))
        # The reply may be lost, so the outcome is always read from the stream.
        fold = change_fold.ConfigurationFold()
        while True:
            page = await log.read(
                changes.STREAM, fold.next_offset, _PAGE_RECORDS, 0
            )
            match page:
                case log_outcomes.Trimmed(first):
                    fold.skip_to(first)
                case log_outcomes.Page():
                    apply_page(fold, page, wire_codec)
                    if fold.next_offset >= page.next:
                        return fold.find_verdict(change.record_id)
                case log_outcomes.LogUnreachable():
                    return None


def apply_page(
    fold: change_fold.ConfigurationFold,
    page: log_outcomes.Page,
    wire_codec: codec.Codec,
) -> None:
    """Decodes the records of a page and applies them to a fold."""
    for log_record in page.records:
        record = change_fold.decode_record(wire_codec, log_record.body)
        fold.apply(change_fold.StreamRecord(log_record.offset, record))
