"""Weight advice: which balancers have registered which groups, their weights, when they are sent. No I/O."""
