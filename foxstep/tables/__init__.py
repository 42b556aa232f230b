"""Versions of tables: history, who holds what, pins and rollbacks, what was last good. No I/O, no clock."""
