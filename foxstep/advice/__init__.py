"""Decisions on weight advice: who has registered what, which weights it gets, when it is told. No I/O."""
