"""foxstep: a central planner behind plain proxies."""
