"""Builds generations, requests and upstreams for tests of forwarding."""

from redwingchute.core import forwarding


def make_generation(
    shared: str = "prompt", shared_tokens: int = 10_000, own_tokens: int = 1_000
) -> forwarding.Generation:
    """Returns a generation with one shared prompt part and one of its own."""
    return forwarding.Generation(
        prompt_tokens=shared_tokens + own_tokens,
        max_output_tokens=100,
        parts=(
            forwarding.PromptPart(shared, shared_tokens),
            forwarding.PromptPart("own", own_tokens),
        ),
    )


def make_request(
    number: int, generation: forwarding.Generation | None
) -> forwarding.ForwardRequest:
    """Returns a caller's request."""
    return forwarding.ForwardRequest(
        id=f"request-{number}",
        host="a.example",
        path="/",
        generation=generation,
    )


def make_upstream(name: str, zone: str = "huon") -> forwarding.Upstream:
    """Returns a ready upstream."""
    return forwarding.Upstream(name, "llm", "10.0.0.1:1", zone, True, 64)
