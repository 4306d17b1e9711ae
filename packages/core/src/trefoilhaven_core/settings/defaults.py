"""Defaults of all settings, with their units.

Names end in the unit of their value: ``_S`` seconds, ``_BYTES`` bytes.
Numbers without a unit are counts or shares.
"""

from typing import Final

# Process settings.
LOG_LEVEL: Final = 'info'
SLOTS: Final = 2

# Service files.
IDLE_TIMEOUT_S: Final = 3600.0
CONNECTION_LIMIT: Final = 2000
QUEUE_LIMIT: Final = 64
LONG_BODY_BYTES: Final = 65_536
RETENTION_S: Final = 600.0
RETRY_BUDGET: Final = 0.1
WARM_UP_S: Final = 5.0
EJECT_SHARE: Final = 0.33

# Leases and liveness.
HEARTBEAT_INTERVAL_S: Final = 0.5
LEASE_S: Final = 2.0
# Two clocks may run at different rates; a fence waits this much longer
# than the lease.
CLOCK_RATE_MARGIN_S: Final = 0.5
SUSPECT_AFTER_S: Final = 1.5
DEAD_AFTER_S: Final = 2.5
SILENT_DOMAIN_DEAD_AFTER_S: Final = 5.0

# Dissemination.
CHANGE_FANOUT: Final = 4
DIGEST_INTERVAL_S: Final = 1.0
PLATFORM_WATCHERS: Final = 2

# Ownership and flow packets.
CLAIM_RETRY_S: Final = 0.2
HOP_LIMIT: Final = 6
WAITING_PACKETS_PER_BUCKET: Final = 64
WAITING_PACKET_S: Final = 1.0

# Request records.
REQUEST_RECORDS: Final = 10_000
REFUSAL_RECORDS: Final = 40_000
# Error between the wall clocks of callers and agents.
WALL_CLOCK_ERROR_S: Final = 0.25

# Calls between processes and to the platform.
PEER_CALL_TIMEOUT_S: Final = 2.0
PLATFORM_CALL_TIMEOUT_S: Final = 3.0
PLATFORM_WATCH_TIMEOUT_S: Final = 25.0
PLATFORM_BACKOFF_S: Final = 0.1
PLATFORM_BACKOFF_LIMIT_S: Final = 5.0
# A longer wait that the platform asks for is taken for a fault in it.
PLATFORM_RETRY_AFTER_LIMIT_S: Final = 60.0
PLATFORM_OBJECT_BYTES: Final = 1_000_000

# Publishing.
# A doubtful write is read back over 10 s, longer than a lost connection
# usually lasts.
PUBLISH_READ_BACKS: Final = 10
PUBLISH_READ_BACK_WAIT_S: Final = 1.0
PUBLISH_WAIT_S: Final = 30.0
PUBLISH_POLL_S: Final = 0.25

# Observability.
TIMELINE_EVENTS: Final = 4096
LOG_LINES_PER_S: Final = 1.0
# Histograms cover 1 microsecond to 1 hour with 2 significant digits.
HISTOGRAM_LOWEST_S: Final = 0.000001
HISTOGRAM_HIGHEST_S: Final = 3600.0
HISTOGRAM_DIGITS: Final = 2
