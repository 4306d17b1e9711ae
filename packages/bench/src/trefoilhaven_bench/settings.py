"""Defaults and limits of the stand-ins and load generators."""

from typing import Final

# Rate limits of the platform in calls per second, as its operators state.
PLATFORM_WRITES_PER_S: Final = 300.0
PLATFORM_READS_PER_S: Final = 2000.0
# Largest encoded content of a platform object in bytes.
MAX_OBJECT_BYTES: Final = 1_000_000
# Longest time in seconds that a watch request is held open.
MAX_WATCH_TIMEOUT_S: Final = 60.0

# Largest number of flows in the flow table of the fabric; beyond it the
# least recently used flow is evicted.
FABRIC_MAX_FLOWS: Final = 500_000
# Receive and send buffer of the UDP sockets in bytes. The system's default
# drops datagrams in the bursts that a few thousand flows produce.
UDP_BUFFER_BYTES: Final = 4_194_304

# Seconds without an answer after which a flow counts as failed.
FLOW_SILENCE_TIMEOUT_S: Final = 5.0
# Seconds without an answer after which a flow retransmits its last packet.
# Each retransmission goes to a randomly chosen balancer. When two of three
# balancers can't forward it, all 25 retransmissions within the timeout above
# fail once in 25,000 times.
FLOW_RETRANSMIT_INTERVAL_S: Final = 0.2

# Deadline of one call of a request in seconds.
REQUEST_DEADLINE_S: Final = 5.0
# Largest number of attempts for a request that is answered "not run".
MAX_REQUEST_ATTEMPTS: Final = 10
# Seconds before a caller repeats an attempt whose call failed or was answered
# "unknown". The first pause is short, since another balancer mostly answers
# at once; their sum exceeds the time in which other agents take over the
# buckets of a dead one.
REQUEST_REPEAT_PAUSES_S: Final = (0.05, 0.3, 1.0, 3.0)

# One-way network delays in seconds: to clients and between failure domains.
CLIENT_DELAY_S: Final = 0.001
LIN_DOMAIN_DELAY_S: Final = 0.0035
TINCYCLE_DOMAIN_DELAY_S: Final = 0.004
# Delay in seconds that a lost TCP segment adds, which is the smallest
# retransmission timeout of common TCP stacks.
TCP_RETRANSMIT_S: Final = 0.2
# Largest number of clients of a UDP link; each has an upstream socket.
PROXY_MAX_CLIENTS: Final = 2048

# Seconds for a process to become ready, and to exit after SIGTERM.
READY_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 10.0
POLL_INTERVAL_S: Final = 0.05
