"""The running controller: the host of a decision module, its send channel and the state of its proxies.

Nothing in this package knows a wire protocol.
"""
