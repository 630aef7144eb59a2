"""Exit codes and garbage collection settings of all daemon commands.

This module imports nothing that takes long, so that commands start fast.
"""

import gc

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

# The HTTP library leaves some cyclic objects with each request. The default threshold
# of 700 new objects would start a collection every few subqueries.
GC_THRESHOLDS = (20_000, 20, 50)


def configure_garbage_collector() -> None:
    """Enable garbage collection, and exclude the objects that exist now from it.

    ``deploy/celeryferryd.py`` disables it during the imports.

    These objects come from imports and live as long as the process. To traverse them in
    every collection would only increase the tail latency.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(*GC_THRESHOLDS)
