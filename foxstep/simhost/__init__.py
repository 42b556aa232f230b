"""Runs controllers on the simulator's protocol: codec, names and units, instances. No decisions are made
here."""
