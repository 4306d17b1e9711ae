"""Defaults of settings, service files, calls and observability.

Constants of the decision code, such as the lease duration, are defined and
explained in its modules.

Names end in the unit of their value: ``_S`` seconds, ``_PER_S`` per second,
``_BYTES`` bytes.
Numbers without a unit are counts or shares.
"""

from typing import Final

# Process settings.
LOG_LEVEL: Final = 'info'
SLOTS: Final = 2
PROCESSOR_SHARE: Final = 0.15
PROCESSOR_SPEED: Final = 1.0
EVACUATIONS: Final = False
STATE_OFFERS: Final = False
OVERLOAD_REFUSALS: Final = False

# Additional wait in seconds that an operator accepts to keep a request, with
# its bytes, inside the failure domain. Waits are means over a domain, and
# 5 ms of queue mean that hardly a slot is free: a higher figure saves few
# bytes and lets more requests wait. Used only where the settings name it.
DOMAIN_CROSSING_COST_S: Final = 0.005

# Service files.
IDLE_TIMEOUT_S: Final = 3600.0
CONNECTION_LIMIT: Final = 2000
QUEUE_LIMIT: Final = 64
LONG_BODY_BYTES: Final = 65_536
RETENTION_S: Final = 600.0
RETRY_BUDGET: Final = 0.1
WARM_UP_S: Final = 5.0
EJECT_SHARE: Final = 0.33

# Calls between processes and to the platform.
# Number of balancers that watch the platform; each pending watch counts as
# a call.
PLATFORM_WATCHERS: Final = 2
PEER_CALL_TIMEOUT_S: Final = 2.0
PLATFORM_CALL_TIMEOUT_S: Final = 3.0
PLATFORM_WATCH_TIMEOUT_S: Final = 25.0
PLATFORM_BACKOFF_S: Final = 0.1
PLATFORM_BACKOFF_LIMIT_S: Final = 5.0
# Caps the wait that the platform asks for; a longer one is treated as a
# fault of the platform.
PLATFORM_RETRY_AFTER_LIMIT_S: Final = 60.0
PLATFORM_OBJECT_BYTES: Final = 1_000_000

# Publishing.
# A write with an unknown outcome is read back for 10 s, longer than
# a lost connection usually lasts.
PUBLISH_READ_BACKS: Final = 10
PUBLISH_READ_BACK_WAIT_S: Final = 1.0
PUBLISH_WAIT_S: Final = 30.0
PUBLISH_POLL_S: Final = 0.25

# Observability.
TIMELINE_EVENTS: Final = 4096
LOG_LINES_PER_S: Final = 1.0
# Limits of the lines that a process logs: a sustained rate, and a burst
# after a change. A line takes 60 microseconds.
LOG_BUDGET_LINES_PER_S: Final = 60.0
LOG_BURST_LINES: Final = 300
# Histograms cover 1 microsecond to 1 hour at 2 significant digits.
HISTOGRAM_LOWEST_S: Final = 0.000001
HISTOGRAM_HIGHEST_S: Final = 3600.0
HISTOGRAM_DIGITS: Final = 2
