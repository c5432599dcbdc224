"""Configurations of a run."""

HOST = 'callers.example'
MODEL = 'model-a'
PLAIN_SERVICE = 'plain'
ENGINE_SERVICE = 'engines'


def make_config(version: int) -> dict[str, object]:
    """Return a configuration whose routes depend on its version.

    Each version has the route ``/v{version}/``, which shows whether a VM has
    applied it.
    """

    def make_route(
        prefix: str, kind: str, service: str, **extra: object
    ) -> object:
        return {
            'name': prefix.strip('/'),
            'host': HOST,
            'path_prefix': prefix,
            'kind': kind,
            'timeout_ms': 1500,
            'slo_ms': 200,
            'service': service,
            'max_attempts': 3,
            **extra,
        }

    return {
        'version': version,
        'routes': [
            make_route('/plain/', 'safe', PLAIN_SERVICE),
            make_route('/once/', 'unsafe', PLAIN_SERVICE),
            make_route(f'/v{version}/', 'safe', PLAIN_SERVICE),
            make_route(
                '/streams/', 'streaming', ENGINE_SERVICE, resumable=True
            ),
            make_route(
                '/samples/',
                'rollout',
                ENGINE_SERVICE,
                due_ms=8000,
                max_age_s=60,
            ),
        ],
        'services': [],
        'limits': {'idle_timeout_ms': 15000, 'max_body_bytes': 1 << 20},
    }
