"""What proxies report, on its way to the module: merged, aged, sampled, bounded; and told as rates."""
