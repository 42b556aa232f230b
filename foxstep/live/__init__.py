"""The running controller: one decision module, its clock, its channel, and what proxies hold. No wire."""
