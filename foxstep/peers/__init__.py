"""Controllers that share a fleet: who is alive, who serves which proxy; the transport of their notes."""
