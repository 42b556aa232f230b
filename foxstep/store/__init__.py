"""State kept across restarts: table history, holders, rollbacks, the last server list and the last epoch."""
