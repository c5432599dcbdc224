"""``python -m bench``: runs experiments, compares and reports them."""

import datetime
import logging
import pathlib
import signal
import sys

import anyio
import cleo.application
import cleo.commands.command
import cleo.helpers

from bench import plan
from bench import report
from bench import results
from bench import runs
from bench import soak
from bench import suite

EXPERIMENTS = pathlib.Path(__file__).resolve().parent / 'experiments'
EXIT_INTERRUPTED = 130


def _interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def run_one(
    experiment: plan.Experiment, seed: int, folder: pathlib.Path, command: str
) -> results.Result:
    """Run one experiment; a partial result is written on Ctrl-C."""
    folder.mkdir(parents=True, exist_ok=True)
    run = runs.Run(experiment, seed, folder, command, print_progress)
    anyio.run(run.run)
    return run.result


def print_progress(text: str) -> None:
    """Print one line of progress with the time of day."""
    print(f'{datetime.datetime.now():%H:%M:%S} {text}', flush=True)


class RunCommand(cleo.commands.command.Command):
    """Runs one experiment."""

    name = 'run'
    description = 'Runs one experiment.'
    arguments = [cleo.helpers.argument('experiment', 'An experiment file.')]
    options = [
        cleo.helpers.option('seed', None, 'The seed.', False, default='1'),
        cleo.helpers.option('out', None, 'Where the result goes.', False),
    ]

    def handle(self) -> int:
        path, seed = self.argument('experiment'), int(self.option('seed'))
        experiment = plan.read_experiment(path)
        folder = pathlib.Path(
            self.option('out') or f'out/{experiment.name}-{seed}'
        )
        command = f'python -m bench run {path} --seed {seed}'
        result = run_one(experiment, seed, folder.absolute(), command)
        for line in report.format_summary(result):
            self.line(line)
        report.write_report(folder)
        return 1 if result.violations() else 0


class CompareCommand(cleo.commands.command.Command):
    """Compares two results."""

    name = 'compare'
    description = 'Shows two results side by side.'
    arguments = [
        cleo.helpers.argument('first', 'The folder of a run.'),
        cleo.helpers.argument('second', 'The folder of another.'),
    ]

    def handle(self) -> int:
        first = results.read_result(self.argument('first'))
        second = results.read_result(self.argument('second'))
        for line in report.format_comparison(first, second):
            self.line(line)
        return 0


class ReportCommand(cleo.commands.command.Command):
    """Writes the page of a run."""

    name = 'report'
    description = 'Makes one HTML page of a result.'
    arguments = [cleo.helpers.argument('folder', 'The folder of the run.')]

    def handle(self) -> int:
        page = report.write_report(pathlib.Path(self.argument('folder')))
        self.line(str(page))
        return 0


class SuiteCommand(cleo.commands.command.Command):
    """Runs every experiment of the repository."""

    name = 'suite'
    description = 'Runs the experiments kept here and writes RESULTS.md.'
    options = [
        cleo.helpers.option('seed', None, 'The seed.', False, default='1'),
        cleo.helpers.option('out', None, 'Folder.', False, default='out'),
        cleo.helpers.option('page', None, 'The page to write.', False),
        cleo.helpers.option('only', None, 'Names.', False, multiple=True),
    ]

    def handle(self) -> int:
        out = pathlib.Path(self.option('out')).absolute()
        seed = int(self.option('seed'))
        only = set(self.option('only'))
        found = []
        for path in sorted(EXPERIMENTS.glob('*.toml')):
            if only and path.stem not in only:
                continue
            experiment = plan.read_experiment(str(path))
            command = (
                f'python -m bench run bench/experiments/{path.name} '
                f'--seed {seed}'
            )
            print_progress(f'=== {experiment.name}')
            folder = out / f'{experiment.name}-{seed}'
            try:
                found.append(run_one(experiment, seed, folder, command))
            except Exception as error:
                print_progress(f'{experiment.name} failed: {error!r}')
                found.append(results.read_result(str(folder)))
            report.write_report(folder)
        if self.option('page'):
            page = pathlib.Path(self.option('page'))
            held = page.read_text() if page.exists() else ''
            page.write_text(suite.format_page(found, held))
        return 1 if any(r.violations() for r in found) else 0


class SoakCommand(cleo.commands.command.Command):
    """Runs everything together with random faults."""

    name = 'soak'
    description = 'Runs everything together with seeded random faults.'
    options = [
        cleo.helpers.option('seed', None, 'The seed.', False, default='1'),
        cleo.helpers.option('seconds', None, 'How long.', False, default='60'),
        cleo.helpers.option('out', None, 'Folder.', False),
    ]

    def handle(self) -> int:
        seed = int(self.option('seed'))
        seconds = float(self.option('seconds'))
        experiment = soak.make_experiment(seed, seconds)
        command = f'make own-soak SEED={seed} SECONDS={seconds:g}'
        folder = pathlib.Path(self.option('out') or f'out/soak-{seed}')
        result = run_one(experiment, seed, folder.absolute(), command)
        for line in report.format_summary(result):
            self.line(line)
        report.write_report(folder)
        if result.violations():
            self.line(f'replay with: {command}')
            return 1
        return 0


def main() -> int:
    """Run the command line."""
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
