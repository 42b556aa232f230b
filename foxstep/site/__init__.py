"""Site files: the settings of a fleet in Jsonnet, validated, and as the map that the decision module gets."""

from foxstep.site.load import InputError, read_site
from foxstep.site.types import Site

__all__ = ["Site", "InputError", "read_site"]
