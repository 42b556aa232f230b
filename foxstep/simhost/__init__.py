"""Hosts controllers on the simulator's wire: codec, names and units, instances. Nothing is decided here."""
