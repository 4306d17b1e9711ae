"""Sockets of a process, opened and closed together."""

from collections.abc import Callable, Sequence
from typing import Protocol

from grpclib.server import Server

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.telemetry.endpoints import TelemetryEndpoint
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime
from trefoilhaven_core.wire.codec import Codec, make_codec
from trefoilhaven_core.wire.endpoints import (
    DatagramEndpoint,
    open_endpoint,
    register_endpoint_metrics,
)
from trefoilhaven_core.wire.proto.calls_grpc import (
    PeersBase,
    PlacementBase,
    RequestsBase,
)

Service = PeersBase | PlacementBase | RequestsBase


class Addresses(Protocol):
    """Settings with the addresses of a process's sockets."""

    @property
    def flow(self) -> Address:
        """Address of flow packets."""

    @property
    def control(self) -> Address:
        """Address of control messages."""

    @property
    def rpc(self) -> Address:
        """Address of gRPC calls."""

    @property
    def metrics(self) -> Address:
        """Address of the telemetry endpoint."""


class ProcessSockets:
    """Flow, control, gRPC and telemetry sockets of one process.

    ``open_sockets`` opens the datagram sockets first, so that tasks can
    register their handlers before ``serve`` opens the others.
    """

    def __init__(
        self,
        cfg: Addresses,
        runtime: ProcessRuntime,
        flow: DatagramEndpoint,
        control: DatagramEndpoint,
    ) -> None:
        """Take ownership of open datagram sockets."""
        self.codec: Codec = make_codec()
        self.flow = flow
        self.control = control
        self._cfg = cfg
        self._runtime = runtime
        self._server: Server | None = None
        self._telemetry: TelemetryEndpoint | None = None

    async def serve(
        self,
        services: Sequence[Service],
        not_ready_reason: Callable[[], str],
    ) -> None:
        """Open the gRPC and telemetry sockets.

        ``not_ready_reason`` returns why the process is not ready, or ''.
        Raises ``OSError`` when an address of the settings is in use.
        """
        self._server = Server(services)
        await self._server.start(*self._cfg.rpc)
        metrics = self._runtime.metrics
        register_endpoint_metrics(metrics, 'control', self.control)
        register_endpoint_metrics(metrics, 'flow', self.flow)
        self._telemetry = TelemetryEndpoint(metrics, not_ready_reason)
        await self._telemetry.start(self._cfg.metrics)

    async def close(self) -> None:
        """Close all sockets."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        if self._telemetry is not None:
            await self._telemetry.stop()
        self.flow.close()
        self.control.close()


async def open_sockets(
    cfg: Addresses,
    runtime: ProcessRuntime,
) -> ProcessSockets:
    """Open the datagram sockets of a process.

    Raises ``OSError`` when an address of the settings is in use.
    """
    codec = make_codec()
    flow = await open_endpoint(cfg.flow, codec, runtime.clock)
    control = await open_endpoint(cfg.control, codec, runtime.clock)
    return ProcessSockets(cfg, runtime, flow, control)
