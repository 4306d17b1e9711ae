"""Event loop in a thread, for scenario steps that are not coroutines."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar('ResultT')


class LoopThread:
    """Runs coroutines on a loop that keeps the loads of a scenario running."""

    def __init__(self) -> None:
        """Start the thread with its loop."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def run(
        self,
        coroutine: Coroutine[Any, Any, ResultT],
        timeout_s: float = 120,
    ) -> ResultT:
        """Run a coroutine and return its result; may raise ``TimeoutError``."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(timeout_s)

    def close(self) -> None:
        """Stop the loop and join its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
