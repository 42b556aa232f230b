"""The SASP front: weight advice for load balancers that speak RFC 4678."""
