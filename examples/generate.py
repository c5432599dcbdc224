"""Writes the configuration files of both example deployments.

Run it with ``python examples/generate.py``.
"""

import pathlib

ROOT = pathlib.Path(__file__).resolve().parent


def write_vm(
    folder: pathlib.Path,
    number: int,
    data_center: str,
    region: str,
    *,
    spool: bool,
) -> None:
    """Write the settings file of one VM, with a spool if `spool`."""
    ip = f'127.0.{1 if region == "ro-central" else 2}.{10 + number}'
    network_prefix = f'127.0.{1 if region == "ro-central" else 2}'
    text = f"""\
[vm]
name = "entry-{number}"
ip = "{ip}"
data_center = "{data_center}"
region = "{region}"

[platform]
objects = "http://{network_prefix}.1:9001"
vms = "http://{network_prefix}.1:9002"
weights = "http://{network_prefix}.1:9003"

[conductor]
seeds = ["{network_prefix}.11:8071", "{network_prefix}.12:8071"]
"""
    if spool:
        text += f"""
[spool]
folder = "data/{region}/entry-{number}"
"""
    (folder / f'entry-{number}.toml').write_text(text)


def write_standins(
    folder: pathlib.Path,
    region: str,
    data_centers: list[str],
    model: str,
    engines: int,
    service: str,
    servers: int,
) -> None:
    """Write the stand-in settings of a deployment."""
    network_prefix = f'127.0.{1 if region == "ro-central" else 2}'
    lines = [f'ip = "{network_prefix}.1"', f'region = "{region}"', '']
    for number in range(1, engines + 1):
        lines += [
            '[[engines]]',
            f'name = "engine-{number}"',
            f'port = {9100 + number}',
            f'model = "{model}"',
            f'data_center = "{data_centers[number % len(data_centers)]}"',
            '',
        ]
    for kind, count, port in ((service, servers, 9200), ('scorer', 1, 9300)):
        for number in range(1, count + 1):
            lines += [
                '[[services]]',
                f'name = "{kind}-{number}"',
                f'port = {port + number}',
                f'service = "{kind}"',
                f'data_center = "{data_centers[number % len(data_centers)]}"',
                '',
            ]
    for number in range(1, 9):
        lines += [
            '[[vms]]',
            f'name = "entry-{number}"',
            f'address = "{network_prefix}.{10 + number}:8071"',
            'service = "swiftjunction"',
            f'data_center = "{data_centers[number % len(data_centers)]}"',
            f'region = "{region}"',
            '',
        ]
    (folder / 'standins.toml').write_text('\n'.join(lines))


def main() -> None:
    """Write the files of both deployments."""
    for name, region, data_centers, model, service, servers in (
        (
            'association',
            'ro-central',
            [f'ro-central-{n}' for n in 'abcd'],
            'riders',
            'ledger',
            4,
        ),
        (
            'tallamedida',
            'mx-centro',
            [f'mx-centro-{n}' for n in 'abc'],
            'fit',
            'sizing',
            3,
        ),
    ):
        folder = ROOT / name
        folder.mkdir(exist_ok=True)
        for number in range(1, 9):
            write_vm(
                folder,
                number,
                data_centers[number % len(data_centers)],
                region,
                spool=number <= 3,
            )
        write_standins(
            folder, region, data_centers, model, 5, service, servers
        )


if __name__ == '__main__':
    main()
