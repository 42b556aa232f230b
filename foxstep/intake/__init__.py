"""Proxies' reports before they reach the decision module: merged, aged, sampled, bounded, and passed on as
rates."""
