"""What outlives a controller: history of tables, holders, rollbacks, the last list, the count of starts."""
