"""Time at which this process began to load its modules.

The entry point imports this module before all others: the modules of a
process take longer to load than a target takes to start.
"""

import time
from typing import Final

# Unix time in seconds.
PROCESS_STARTED_AT: Final = time.time()
