"""Fixtures of the behave scenarios.

The seed comes from the command line, as in ``behave -D seed=7``, and is
printed. Logs of a failed scenario are kept and their directory is printed.
"""

import shutil
import tempfile
from pathlib import Path
from typing import Any

from trefoilhaven_bench.scenarios.loops import LoopThread


def before_all(context: Any) -> None:
    """Read the seed of all scenarios and print it."""
    context.seed = int(context.config.userdata.get('seed', '1'))
    print(f'seed {context.seed}', flush=True)


def before_scenario(context: Any, scenario: Any) -> None:
    """Create the scenario's event loop and temporary directory."""
    context.loop = LoopThread()
    context.directory = Path(tempfile.mkdtemp(prefix='trefoilhaven-'))
    context.run = None


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the scenario's processes; remove its logs if it passed.

    Processes that had to be killed after SIGTERM are printed, and the logs
    are kept.
    """
    late = []
    if context.run is not None:
        late = context.loop.run(context.run.close())
    context.loop.close()
    if late:
        print(f'killed after SIGTERM: {", ".join(late)}', flush=True)
    if scenario.status.name == 'passed' and not late:
        shutil.rmtree(context.directory)
    else:
        print(f'logs: {context.directory}', flush=True)
