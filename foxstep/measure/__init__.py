"""The load tool: many bare discovery clients on one controller, to measure it by. No decisions."""
