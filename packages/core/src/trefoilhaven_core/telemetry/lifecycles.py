"""Start and stop of asyncio processes."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable, Iterable

from trefoilhaven_core.telemetry.hangups import take_deferred_hangup


async def wait_for_stop(
    stop: asyncio.Event,
    tasks: Iterable['asyncio.Task[None]'],
) -> None:
    """Return when ``stop`` is set; raise the exception of a task that ends.

    A task only ends with an exception, which ends the process.
    """
    running = list(tasks)
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait(
        [stopping, *running],
        return_when=asyncio.FIRST_COMPLETED,
    )
    stopping.cancel()
    for task in running:
        if task.done():
            task.result()


async def end_tasks(tasks: Iterable['asyncio.Task[None]']) -> None:
    """Cancel tasks and wait until they end."""
    running = list(tasks)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


def run_until_signal(
    serve: Callable[[asyncio.Event], Awaitable[None]],
    on_hangup: Callable[[], object] | None = None,
) -> None:
    """Run ``serve``; SIGTERM and SIGINT set the event passed to it.

    ``on_hangup`` is called at SIGHUP, also for one that was deferred while
    the process loaded. Without it, SIGHUP ends the process.
    """

    async def start() -> None:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        if on_hangup is not None:
            loop.add_signal_handler(signal.SIGHUP, on_hangup)
            if take_deferred_hangup():
                on_hangup()
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(stop_signal, stop.set)
        await serve(stop)

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(start())
