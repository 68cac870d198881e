"""The sample files of both deployments have the expected settings."""

import pathlib

import pytest

from wagtailspread.configuration import loaders, routes
from wagtailspread.core import priorities

SAMPLES = pathlib.Path(__file__).parents[3] / 'samples'


def load_sample(site):
    """Return the settings by member of a sample deployment."""
    texts = {
        path.name: path.read_text()
        for path in sorted((SAMPLES / site).glob('*.ini'))
        if path.name == 'base.ini' or path.name.startswith('overlay-')
    }
    return loaders.load_settings(texts).unwrap()


@pytest.mark.parametrize(
    ('site', 'regions', 'services', 'hosts'),
    [
        (
            'andino',
            {
                'centro-andes': ('andes-bog', 'andes-mde'),
                'costa-norte': ('costa-baq', 'costa-ctg'),
            },
            ['vitrina', 'contratos', 'buzon-autores'],
            range(36, 45),
        ),
        (
            'penang',
            {
                'pulau': ('georgetown', 'balik-pulau'),
                'seberang': ('butterworth', 'bukit-mertajam'),
            },
            ['susunan', 'tempahan', 'gambar'],
            range(36, 45),
        ),
    ],
)
def test_sample_matches_the_deployment(site, regions, services, hosts):
    """Guards against samples that differ from the deployments they describe."""
    sites = load_sample(site)
    assert set(sites) == set(regions)
    for settings in sites.values():
        domains = {
            name: region.domains for name, region in settings.regions.items()
        }
        assert domains == regions
        assert list(settings.services) == services
        host_count = sum(region.hosts for region in settings.regions.values())
        assert host_count in hosts
        assert settings.regions[next(iter(regions))].link_bytes == 3_750_000


@pytest.mark.parametrize(
    ('site', 'method', 'path', 'service', 'priority', 'is_idempotent'),
    [
        ('andino', 'GET', '/columns/7', 'vitrina', 'urgent', True),
        ('andino', 'GET', '/columns/archive/7', 'vitrina', 'bulk', True),
        ('andino', 'POST', '/orders', 'contratos', 'urgent', False),
        ('andino', 'GET', '/orders/7', 'contratos', 'standard', True),
        ('andino', 'POST', '/manuscripts', 'buzon-autores', 'standard', False),
        ('penang', 'GET', '/layouts/7', 'susunan', 'urgent', True),
        ('penang', 'POST', '/bookings', 'tempahan', 'urgent', False),
        ('penang', 'POST', '/photos', 'gambar', 'bulk', False),
    ],
)
def test_sample_routes(site, method, path, service, priority, is_idempotent):
    """Guards against an order or a booking that is executed twice."""
    for settings in load_sample(site).values():
        route = routes.create_route_table(settings).match(method, path)
        assert route.service == service
        assert route.priority is priorities.parse_priority(priority)
        assert route.is_idempotent is is_idempotent


def test_sample_overlay_changes_one_site_only():
    """Guards against an overlay that affects the other site."""
    sites = load_sample('andino')
    andes = sites['centro-andes'].services['vitrina']
    costa = sites['costa-norte'].services['vitrina']
    assert (andes.deadline, costa.deadline) == (1.5, 2)
    assert (andes.shares, costa.shares) == ((0.6, 0.3, 0.1), (0.5, 0.4, 0.1))
