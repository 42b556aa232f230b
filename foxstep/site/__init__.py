"""What is told at the start: a site's Jsonnet file, checked into types, as the plain map the module gets."""

from foxstep.site.load import Trouble, read_site
from foxstep.site.types import Site

__all__ = ["Site", "Trouble", "read_site"]
