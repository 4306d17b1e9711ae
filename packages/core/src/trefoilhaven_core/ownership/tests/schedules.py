"""Number of random schedules per test run."""

import os
from typing import Final

# Each schedule takes about half a second.
DEFAULT_SCHEDULES: Final = 5


def schedule_seeds() -> range:
    """Return the seeds of the schedules.

    The environment variable ``TREFOILHAVEN_SCHEDULES`` sets their number.
    """
    number = int(os.environ.get('TREFOILHAVEN_SCHEDULES', DEFAULT_SCHEDULES))
    return range(number)
