"""The platform's protocol: JSON lines with proxies and collectors, HTTP with discovery and servers, notes."""
