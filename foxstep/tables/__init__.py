"""Versions of tables: history, what each proxy holds, pins, rollbacks and the last good version.

No I/O, no clock.
"""
