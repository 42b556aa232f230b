"""Scripted bad days through the live program, their record, and the auditor that judges the rules from it."""
