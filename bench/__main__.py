"""Command line ``python -m bench``: runs and compares experiments."""

import datetime
import logging
import pathlib
import signal
import sys

import anyio
import cleo.application
import cleo.commands.command
import cleo.helpers

from bench import experiment_file
from bench import report
from bench import results
from bench import runs
from bench import soak
from bench import suite

EXPERIMENTS = pathlib.Path(__file__).resolve().parent / 'experiments'
EXIT_INTERRUPTED = 130


def _interrupt(signal_number: int, frame: object) -> None:
    """Handle SIGTERM like Ctrl-C, so that the partial result is written."""
    raise KeyboardInterrupt


def run_experiment(
    experiment: experiment_file.Experiment,
    seed: int,
    folder: pathlib.Path,
    command: str,
) -> results.Result:
    """Run one experiment and return its result.

    If the run fails or is interrupted, its partial result is in `folder`.
    """
    folder.mkdir(parents=True, exist_ok=True)
    run = runs.Run(experiment, seed, folder, command, print_progress)
    anyio.run(run.run)
    return run.result


def print_progress(text: str) -> None:
    """Print a line of progress after the time of day."""
    print(f'{datetime.datetime.now():%H:%M:%S} {text}', flush=True)


class RunCommand(cleo.commands.command.Command):
    """Runs one experiment; exits with 1 if an invariant was violated."""

    name = 'run'
    description = 'Runs one experiment.'
    arguments = [
        cleo.helpers.argument('experiment', 'Path of the experiment file.')
    ]
    options = [
        cleo.helpers.option('seed', None, 'Random seed.', False, default='1'),
        cleo.helpers.option('out', None, 'Folder for the result.', False),
    ]

    def handle(self) -> int:
        path, seed = self.argument('experiment'), int(self.option('seed'))
        experiment = experiment_file.read_experiment(path)
        folder = pathlib.Path(
            self.option('out') or f'out/{experiment.name}-{seed}'
        )
        command = f'python -m bench run {path} --seed {seed}'
        result = run_experiment(experiment, seed, folder.absolute(), command)
        for line in report.format_summary(result):
            self.line(line)
        report.write_report(folder)
        return 1 if result.count_violations() else 0


class CompareCommand(cleo.commands.command.Command):
    """Prints a table that compares two results."""

    name = 'compare'
    description = 'Compares two results.'
    arguments = [
        cleo.helpers.argument('first', 'Folder of the first result.'),
        cleo.helpers.argument('second', 'Folder of the second result.'),
    ]

    def handle(self) -> int:
        first = results.read_result(self.argument('first'))
        second = results.read_result(self.argument('second'))
        for line in report.format_comparison(first, second):
            self.line(line)
        return 0


class ReportCommand(cleo.commands.command.Command):
    """Writes the HTML report of a result."""

    name = 'report'
    description = 'Writes an HTML report of a result.'
    arguments = [cleo.helpers.argument('folder', 'Folder of the result.')]

    def handle(self) -> int:
        page = report.write_report(pathlib.Path(self.argument('folder')))
        self.line(str(page))
        return 0


class SuiteCommand(cleo.commands.command.Command):
    """Runs the experiments of this repository.

    An experiment that fails does not stop the others; its partial result is
    included.
    """

    name = 'suite'
    description = 'Runs all experiments and writes a page of their results.'
    options = [
        cleo.helpers.option('seed', None, 'Random seed.', False, default='1'),
        cleo.helpers.option(
            'out', None, 'Folder for results.', False, default='out'
        ),
        cleo.helpers.option('page', None, 'Path of the page to write.', False),
        cleo.helpers.option(
            'only', None, 'Name of an experiment to run.', False, multiple=True
        ),
    ]

    def handle(self) -> int:
        out = pathlib.Path(self.option('out')).absolute()
        seed = int(self.option('seed'))
        selected_names = set(self.option('only'))
        run_results = []
        for path in sorted(EXPERIMENTS.glob('*.toml')):
            if selected_names and path.stem not in selected_names:
                continue
            experiment = experiment_file.read_experiment(str(path))
            command = (
                f'python -m bench run bench/experiments/{path.name} '
                f'--seed {seed}'
            )
            print_progress(f'=== {experiment.name}')
            folder = out / f'{experiment.name}-{seed}'
            try:
                run_results.append(
                    run_experiment(experiment, seed, folder, command)
                )
            except Exception as error:
                print_progress(f'{experiment.name} failed: {error!r}')
                run_results.append(results.read_result(str(folder)))
            report.write_report(folder)
        if self.option('page'):
            page = pathlib.Path(self.option('page'))
            previous_page = page.read_text() if page.exists() else ''
            page.write_text(suite.format_page(run_results, previous_page))
        return 1 if any(r.count_violations() for r in run_results) else 0


class SoakCommand(cleo.commands.command.Command):
    """Runs a random experiment with all workloads and random faults.

    Prints the command that repeats the run if an invariant was violated.
    """

    name = 'soak'
    description = 'Runs all workloads with seeded random faults.'
    options = [
        cleo.helpers.option('seed', None, 'Random seed.', False, default='1'),
        cleo.helpers.option(
            'seconds', None, 'Duration of the load.', False, default='60'
        ),
        cleo.helpers.option('out', None, 'Folder for the result.', False),
    ]

    def handle(self) -> int:
        seed = int(self.option('seed'))
        seconds = float(self.option('seconds'))
        experiment = soak.make_experiment(seed, seconds)
        command = f'make own-soak SEED={seed} SECONDS={seconds:g}'
        folder = pathlib.Path(self.option('out') or f'out/soak-{seed}')
        result = run_experiment(experiment, seed, folder.absolute(), command)
        for line in report.format_summary(result):
            self.line(line)
        report.write_report(folder)
        if result.count_violations():
            self.line(f'replay with: {command}')
            return 1
        return 0


def main() -> int:
    """Run the command line and return the exit code."""
    logging.basicConfig(level=logging.ERROR)
    signal.signal(signal.SIGTERM, _interrupt)
    application = cleo.application.Application('swiftjunction-bench')
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in (
        RunCommand(),
        CompareCommand(),
        ReportCommand(),
        SuiteCommand(),
        SoakCommand(),
    ):
        application.add(command)
    try:
        return application.run()
    except KeyboardInterrupt:
        print('interrupted; the partial result was written', file=sys.stderr)
        return EXIT_INTERRUPTED


if __name__ == '__main__':
    sys.exit(main())
