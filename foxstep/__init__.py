"""foxstep: a central control service behind plain proxies."""
