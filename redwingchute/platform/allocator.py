"""Has the C library return the memory of large blocks to the system."""

import ctypes

# Parameters of mallopt (3).
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# Blocks of this size, which large bodies are, get pages of their own. Without a
# fixed limit the library raises it to the largest block that was ever freed,
# and keeps the holes between the bodies of a crowd.
_LARGE_BLOCK_BYTES = 64 * 1024


def return_large_blocks() -> bool:
    """Sets that freed large blocks go back to the system.

    Returns:
      Whether the C library has such a setting.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    options = (_M_MMAP_THRESHOLD, _M_TRIM_THRESHOLD)
    results = [set_option(option, _LARGE_BLOCK_BYTES) for option in options]
    return all(results)
