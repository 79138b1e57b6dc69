"""Checks that streams went on at the software version that began them."""

import collections
from collections.abc import Iterable

from redwingchute.soak import findings
from redwingchute.soak import observations as observations_lib


def check_versions(
    observations: observations_lib.Observations,
) -> Iterable[findings.Violation]:
    """Finds streams that went on at a version at which they had not run.

    Which of several earlier runs brought the events is not observed, so a run
    at the version of any of them is taken as right.
    """
    earlier: dict[str, set[str]] = collections.defaultdict(set)
    for event in observations.events:
        if event.event != "ran":
            continue
        versions = earlier[event.request_id]
        if event.is_resumed and versions and event.version not in versions:
            yield findings.Violation(
                "ORDER",
                event.request_id,
                f"went on at {event.version} of {event.upstream}, "
                f"after runs at {', '.join(sorted(versions))}",
            )
        versions.add(event.version)
