"""What all commands of the daemon share as processes; imports nothing heavy."""

import gc

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

# Each request leaves some cyclic objects of the HTTP library. The default of 700 new
# objects starts a collection every few subqueries.
GC_THRESHOLDS = (20_000, 20, 50)


def tune_garbage_collector() -> None:
    """Enable garbage collection and leave the objects of the imports out of it.

    These objects live as long as the process; examining them in every collection would
    only add to the tail latency.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(*GC_THRESHOLDS)
