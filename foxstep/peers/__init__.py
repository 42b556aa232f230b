"""Controllers that share a fleet: membership, replicated facts, and which of them serves each proxy."""
