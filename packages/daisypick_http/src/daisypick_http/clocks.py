"""The clock for the age of what a router knows.

Processes may be suspended together with their VM. The monotonic clock does not
count that time, so information would seem recent although it is not.
"""

import time


def read_boot_time() -> float:
    """Return seconds since the VM was started, with suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
