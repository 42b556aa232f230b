"""Drills: scripted failure days against the live program, their record, and the audit of the safety rules."""
