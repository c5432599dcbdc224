"""Prints lines of product, decision, bench and test code."""

import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The packages in which routing, limits, retries, membership, state and
# recovery are decided.
DECISIONS = (
    'configuration',
    'leases',
    'membership',
    'placement',
    'requests',
    'routing',
    'steps',
    'weights',
)


def count_lines(folder: pathlib.Path) -> int:
    """Return the lines of Python below `folder`."""
    return sum(
        len(path.read_text().splitlines()) for path in folder.rglob('*.py')
    )


def main() -> None:
    """Print the table."""
    source = ROOT / 'src' / 'swiftjunction'
    decision = sum(count_lines(source / name) for name in DECISIONS)
    standins = count_lines(source / 'standins') + count_lines(source / 'demo')
    product = count_lines(source) - decision - standins
    bench = count_lines(ROOT / 'bench') + standins
    tests = count_lines(ROOT / 'tests')
    total = product + decision + bench + tests
    for name, lines in (
        ('product', product),
        ('decision', decision),
        ('bench', bench),
        ('test', tests),
        ('total', total),
    ):
        print(f'{name:<10}{lines:>7}{100 * lines / total:>7.1f} %')


if __name__ == '__main__':
    main()
