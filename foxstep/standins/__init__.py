"""Test doubles for the systems around foxstep: servers, the list service, clients, proxies and relays.

They share no code with the controller except generated messages and public names.
"""
