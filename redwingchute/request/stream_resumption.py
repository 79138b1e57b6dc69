"""Binds streams to the software version that began them."""

from redwingchute.core import forwarding
from redwingchute.core import outcomes
from redwingchute.process import decision_log
from redwingchute.process import origin_exchange
from redwingchute.request import forward_plan
from redwingchute.request import forward_progress
from redwingchute.request import stream_origins

# Retry-after of a refusal whose cause has no known end.
_RETRY_AFTER_MS = 500


class StreamResumption:
    """Finds where the streams of one router may go on."""

    def __init__(self, origins: origin_exchange.OriginExchange) -> None:
        """Creates an instance.

        Args:
          origins: Tells and asks where streams began.
        """
        self._origins = origins

    async def resume(
        self, plan: forward_plan.Plan, progress: forward_progress.Progress
    ) -> outcomes.NotRun | None:
        """Binds a stream that the caller resumes, if the request is for one.

        Returns:
          The refusal if it is not known where the stream may go on.
        """
        request = plan.request
        if not plan.route.is_resumable:
            return _refuse_if_resumed(plan)
        if not request.resumed_id and request.last_event_id is None:
            return None
        resolution = await self._origins.resolve(
            plan.service.name,
            request.resumed_id,
            self._origins.find_max_age_ms(plan.route),
        )
        match resolution:
            case origin_exchange.Resolved(_, "versions") if not (
                self._origins.has_led(plan.route) and _is_service_known(plan)
            ):
                return _refuse_unknown(plan, "moved")
            case origin_exchange.Resolved(bond, source, age_ms):
                progress.bond = bond
                decision_log.log_event(
                    "stream_resumed",
                    request_id=request.id,
                    resumed_id=request.resumed_id,
                    upstream_version=bond.version,
                    start=bond.start.id if bond.start else None,
                    source=source,
                    age_ms=age_ms,
                )
                return None
            case origin_exchange.NotKnown():
                return _refuse_unknown(plan, "unknown")

    def record_chunk(
        self,
        plan: forward_plan.Plan,
        progress: forward_progress.Progress,
        upstream: forwarding.Upstream,
    ) -> None:
        """Records where a stream begins, when a chunk of it arrives.

        Until the caller has an event, another upstream may begin it again.
        """
        if (
            plan.route.is_resumable
            and progress.bond is None
            and not progress.relay.event_count
        ):
            progress.origin = self._origins.record_begin(
                plan.request.id, upstream
            )

    def find_bond(
        self, progress: forward_progress.Progress
    ) -> stream_origins.VersionBond | None:
        """Returns where a stream may go on; None before its first event."""
        if (
            progress.bond is None
            and progress.origin is not None
            and progress.relay.event_count
        ):
            return self._origins.make_bond(progress.origin)
        return progress.bond


def _refuse_if_resumed(plan: forward_plan.Plan) -> outcomes.NotRun | None:
    """Refuses the rest of a stream of a route that lets none be resumed.

    An upstream that got the header would go on with the stream of any version.
    """
    if (
        plan.route.kind is not forwarding.RequestKind.STREAMING
        or plan.request.last_event_id is None
    ):
        return None
    decision_log.log_failure(
        "resume_refused",
        request_id=plan.request.id,
        resumed_id=plan.request.resumed_id,
        cause="not_resumable",
    )
    return outcomes.NotRun(
        503, "not_resumable", "Streams of this route can't be resumed."
    )


def _is_service_known(plan: forward_plan.Plan) -> bool:
    """Returns whether the caller's request shows which service began it."""
    return bool(plan.request.resumed_id) or len(plan.route.services) == 1


def _refuse_unknown(plan: forward_plan.Plan, cause: str) -> outcomes.NotRun:
    """Refuses the rest of a stream whose version is not known."""
    decision_log.log_failure(
        "resume_refused",
        request_id=plan.request.id,
        resumed_id=plan.request.resumed_id,
        cause=cause,
    )
    return outcomes.NotRun(
        503,
        "unknown_version",
        "It is not known which version began the stream.",
        _RETRY_AFTER_MS,
    )
