"""Command line of the measurements; it ends in bounded time."""

import asyncio
import tempfile
from pathlib import Path
from typing import Annotated, Final

import typer

from trefoilhaven_bench.measurements import decisions
from trefoilhaven_bench.measurements.connections import measure_connections
from trefoilhaven_bench.measurements.costs import measure_costs
from trefoilhaven_bench.measurements.memory import measure_memory
from trefoilhaven_bench.measurements.plots import plot_bars
from trefoilhaven_bench.measurements.processes import measure_processes
from trefoilhaven_bench.measurements.slopes import measure_slopes
from trefoilhaven_bench.measurements.tables import (
    Table,
    format_table,
    write_tables,
)
from trefoilhaven_bench.measurements.throughput import measure_throughput

app = typer.Typer(add_completion=False)

SeedOption = Annotated[int, typer.Option(help='Seed of all random choices.')]
OutOption = Annotated[Path, typer.Option(help='Directory for the results.')]

_OUT: Final = Path('out/measurements')
_SOURCES: Final = Path('examples/services')

# Runs of the routing comparison, with successive seeds.
_ROUTING_RUNS: Final = 2


@app.command()
def routing(seed: SeedOption = 1, out: OutOption = _OUT) -> None:
    """Compare broken flows and imbalance of ways to route flows."""
    seeds = range(seed, seed + _ROUTING_RUNS)
    table = decisions.measure_routing(seeds)
    _show([table], out)
    plot_bars(table, ['router'], 'broken', out)
    plot_bars(table, ['router'], 'steady_imbalance', out)


@app.command()
def load(seed: SeedOption = 1, out: OutOption = _OUT) -> None:
    """Compare queues and choices under overload and behind long work."""
    overload = decisions.measure_overload(seed)
    stragglers = decisions.measure_stragglers(seed)
    _show([overload, stragglers], out)
    labels = ['targets', 'slots', 'queue', 'choice']
    plot_bars(overload, labels, 'goodput', out)
    plot_bars(stragglers, labels, 'short_wait_p99_ms', out)


@app.command()
def processes(seed: SeedOption = 1, out: OutOption = _OUT) -> None:
    """Run processes and measure imbalance, control traffic and rates."""
    logs = Path(tempfile.mkdtemp(prefix='trefoilhaven-measure-'))
    tables = asyncio.run(measure_processes(seed, logs / 'region', _SOURCES))
    tables.append(
        asyncio.run(measure_throughput(seed, logs / 'balancer', _SOURCES)),
    )
    _show(tables, out)


@app.command()
def costs(out: OutOption = _OUT) -> None:
    """Measure processor time and memory of single decisions."""
    memory = measure_memory()
    _show([memory, measure_costs()], out)


@app.command()
def connections(out: OutOption = _OUT) -> None:
    """Measure decisions about connections of the gateway and the agent."""
    _show(measure_connections(), out)


@app.command()
def slopes(out: OutOption = _OUT) -> None:
    """Measure how state and time grow with size, for docs/CAPACITY.md."""
    _show(measure_slopes(), out)


@app.command(name='all')
def run_all(seed: SeedOption = 1, out: OutOption = _OUT) -> None:
    """Run all measurements, one after the other, in about five minutes."""
    costs(out)
    connections(out)
    slopes(out)
    load(seed, out)
    routing(seed, out)
    processes(seed, out)


def _show(tables: list[Table], out: Path) -> None:
    write_tables(tables, out)
    for table in tables:
        typer.echo(format_table(table))


if __name__ == '__main__':
    app()
