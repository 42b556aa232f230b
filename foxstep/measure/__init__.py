"""The load tools behind the `foxstep measure` commands. None of them makes decisions of its own."""
