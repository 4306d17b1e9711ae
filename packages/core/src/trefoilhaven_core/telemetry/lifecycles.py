"""Start and stop that all product processes share."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable, Iterable


async def wait_for_stop(
    stop: asyncio.Event,
    tasks: Iterable['asyncio.Task[None]'],
) -> None:
    """Return when ``stop`` is set; raise the error of a task that ended.

    A task of a process ends only by an error, which ends the process.
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
    """Cancel tasks and wait for their end."""
    running = list(tasks)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


def run_until_signal(
    serve: Callable[[asyncio.Event], Awaitable[None]],
    on_hangup: Callable[[], object] | None = None,
) -> None:
    """Run a process; SIGTERM and SIGINT set the event it is given.

    ``on_hangup`` is called at SIGHUP, which ends the process without it.
    """

    async def start() -> None:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        if on_hangup is not None:
            loop.add_signal_handler(signal.SIGHUP, on_hangup)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await serve(stop)

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(start())
