"""Fixtures of the tests with gateway processes."""

import pytest

from hickoryloom.platform.tests.site import Site


@pytest.fixture
def site(tmp_path):
    """A configured site without backend servers and gateways."""
    site = Site(tmp_path)
    site.configure()
    yield site
    site.stop()
