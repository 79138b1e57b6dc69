"""Derives what a process may hold for others from the limits of its host.

A host limits the memory and the descriptors of a process, and a process that
exceeds its memory is killed. What remains beside the process itself is divided
among the connections of callers, their requests, and responses that are read
as a whole. docs/design/HELD-FOR-CLIENTS.md has the reasons.
"""

import attrs

# The host assumed where the settings state none: the smallest one in use.
DEFAULT_MEMORY_MB = 128
DEFAULT_MAX_DESCRIPTORS = 1_638

# More than this of either changes nothing.
_MAX_MEMORY_MB = 16_384
_MAX_DESCRIPTORS = 65_536

_MIB = 1024 * 1024
# The process without clients: the interpreter, the code, the state of a large
# fleet, and what the allocator does not give back.
_OWN_MEMORY_MB = 64
# How the rest of the memory is divided.
_CONNECTION_SHARE = 0.3
_REQUEST_SHARE = 0.4
_RESPONSE_SHARE = 0.3
# A connection with its buffers, while a part of a request waits in them.
_CONNECTION_BYTES = 56 * 1024
# Less than this serves no single request or response of the default sizes.
_MIN_REQUEST_BYTES = 6 * _MIB
_MIN_RESPONSE_BYTES = 5 * _MIB
# Descriptors for files and for the process itself.
_FILE_DESCRIPTORS = 200
# How the rest of the descriptors is divided; what remains is for links to
# routers and the log.
_CALLER_SHARE = 0.4
_UPSTREAM_SHARE = 0.4
_INTERNAL_SHARE = 0.05
_MIN_CONNECTIONS = 8


@attrs.frozen
class ProcessLimits:
    """What a process may hold for others.

    Attributes:
      caller_connections: Open connections of callers.
      upstream_connections: Open connections to upstreams beyond which idle
        ones are closed.
      internal_connections: Open connections at each internal address: those
        for readiness, for metrics, and of peers that have not proved who they
        are.
      request_bytes: The requests of callers that are received or run.
      response_bytes: The responses that are read as a whole or wait for their
        callers to read them.
    """

    caller_connections: int
    upstream_connections: int
    internal_connections: int
    request_bytes: int
    response_bytes: int


def size_limits(memory_mb: float, max_descriptors: float) -> ProcessLimits:
    """Returns the limits of a process on a host.

    Args:
      memory_mb: The memory at which the process is killed.
      max_descriptors: The descriptors that it may have.
    """
    memory_mb = min(memory_mb, _MAX_MEMORY_MB)
    max_descriptors = min(max_descriptors, _MAX_DESCRIPTORS)
    memory_bytes = max(0.0, memory_mb - _OWN_MEMORY_MB) * _MIB
    sockets = max(0.0, max_descriptors - _FILE_DESCRIPTORS)
    return ProcessLimits(
        caller_connections=max(
            _MIN_CONNECTIONS,
            int(
                min(
                    _CALLER_SHARE * sockets,
                    _CONNECTION_SHARE * memory_bytes / _CONNECTION_BYTES,
                )
            ),
        ),
        upstream_connections=max(
            _MIN_CONNECTIONS, int(_UPSTREAM_SHARE * sockets)
        ),
        internal_connections=max(
            _MIN_CONNECTIONS, int(_INTERNAL_SHARE * sockets)
        ),
        request_bytes=max(
            _MIN_REQUEST_BYTES, int(_REQUEST_SHARE * memory_bytes)
        ),
        response_bytes=max(
            _MIN_RESPONSE_BYTES, int(_RESPONSE_SHARE * memory_bytes)
        ),
    )
