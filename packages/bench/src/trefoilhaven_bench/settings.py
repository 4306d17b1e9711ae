"""Defaults of the stand-ins and their units."""

from typing import Final

# Rates of the platform in calls per second, as its operators state them.
PLATFORM_WRITES_PER_S: Final = 300.0
PLATFORM_READS_PER_S: Final = 2000.0
# Largest value of a platform object in bytes.
MAX_OBJECT_BYTES: Final = 1_000_000
# Longest wait of a watch in seconds.
MAX_WATCH_TIMEOUT_S: Final = 60.0

# Flows that the fabric remembers; the oldest is dropped beyond it.
FABRIC_MAX_FLOWS: Final = 500_000
# Receive buffer of the UDP sockets in bytes. The system's default drops
# datagrams in the bursts that a few thousand flows produce.
UDP_BUFFER_BYTES: Final = 4_194_304

# Seconds without an answer after which an open flow counts as broken.
FLOW_SILENCE_TIMEOUT_S: Final = 5.0
# Seconds without an answer after which a flow repeats its last packet. Each
# repetition reaches another balancer; when two of three can't pass it on,
# 25 of them within the limit above all fail once in 25,000 times.
FLOW_RETRANSMIT_INTERVAL_S: Final = 0.2

# Deadline of one call of a request in seconds.
REQUEST_DEADLINE_S: Final = 5.0
# Attempts of a caller that is refused with "not run".
MAX_REQUEST_ATTEMPTS: Final = 10
# Seconds before a caller asks again after silence or "unknown". The first
# pause is short, since another balancer mostly answers at once; all of
# them together outlast the take-over of a dead agent's buckets.
REQUEST_REPEAT_PAUSES_S: Final = (0.05, 0.3, 1.0, 3.0)

# One-way delays in seconds: to clients and between failure domains.
CLIENT_DELAY_S: Final = 0.001
LIN_DOMAIN_DELAY_S: Final = 0.0035
TINCYCLE_DOMAIN_DELAY_S: Final = 0.004
# Delay in seconds that a lost TCP segment adds, which is the smallest
# retransmission timeout of common TCP stacks.
TCP_RETRANSMIT_S: Final = 0.2
# Clients of one UDP link, each with an upstream socket.
PROXY_MAX_CLIENTS: Final = 2048

# Seconds for a process to become ready, and to end after SIGTERM.
READY_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 10.0
POLL_INTERVAL_S: Final = 0.05
