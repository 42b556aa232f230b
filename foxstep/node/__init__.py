"""The program that the operators' platform runs, and its protocols.

Proxies and collectors connect over TCP and exchange JSON lines, discovery and servers are called over HTTP,
and other controllers are reached by UDP datagrams.
"""
