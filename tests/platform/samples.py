"""Bodies of the platform for the tests of its decoders."""

from typing import Any


def configuration() -> dict[str, Any]:
    """Return a configuration with a weighted and a plain route."""
    return {
        'version': 'r7',
        'routes': {
            'r-1': {
                'host': 'a.example',
                'path_prefix': '/x/',
                'kind': 'idempotent',
                'timeout': '1200ms',
                'target_latency': '400ms',
                'priority': 2,
                'weighted_services': [
                    {'service': 'one', 'weight': 90},
                    {'service': 'two', 'weight': 10},
                ],
                'max_attempts': 2,
            },
            'r-2': {
                'host': 'a.example',
                'path_prefix': '/y/',
                'kind': 'non_idempotent',
                'timeout': '1.5s',
                'target_latency': '500ms',
                'priority': 1,
                'service': 'one',
                'max_attempts': 2,
            },
        },
        'services': {
            'one': {
                'health_path': '/healthz',
                'max_connections': 110,
                'protocol': 'h1',
                'tls': False,
            },
            'two': {'health_path': '/healthz', 'max_connections': 110},
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout': '3000ms',
            'idle_timeout': '15000ms',
        },
    }


def report() -> dict[str, Any]:
    """Return the body of a heartbeat."""
    return {
        'service': 'one',
        'address': '10.0.0.9:8080',
        'zone': 'split-a',
        'version': 'v1',
        'slots': 9,
        'state': 'ready',
        'cold_remaining': '250ms',
        'sequence': 4,
        'born': 1_700_000_000_000,
    }
