"""Build configurations as operators of the platform publish them."""

import json


def make_configuration(
    version: int = 1,
    keys: tuple[str, ...] = ('key-a',),
    cap_cpu: int = 0,
    advice: bool = True,
    routes: tuple[str, ...] = ('jobs',),
) -> bytes:
    """Return a configuration with one workspace and a route per name."""
    terms = {'decide_ms': 5, 'each_ms': 0.1, 'valid_ms': 2000}
    return json.dumps(
        {
            'version': version,
            'routes': [
                {
                    'name': f'r-{name}',
                    'host': 'h.example',
                    'path_prefix': f'/{name}/',
                    'kind': 'non_idempotent',
                    'timeout_ms': 3000,
                    'target_latency_ms': 1000,
                    'priority': 0,
                    'service': 'pool',
                    'max_attempts': 3,
                    'stretch': 2.0,
                    'public': False,
                    **({'advice': terms} if advice else {}),
                }
                for name in routes
            ],
            'services': [{'name': 'pool', 'max_conns': 64}],
            'limits': {'max_body_bytes': 65536},
            'tenants': [
                {
                    'name': 'alpha',
                    'api_keys': list(keys),
                    'weight': 1,
                    'cap': {'cpu': cap_cpu},
                }
            ],
        }
    ).encode()
