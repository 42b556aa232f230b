"""Small stand-ins for what foxstep works with: servers, the list service, proxies, and a tap between them.

They share no code with the controller but generated messages and public names.
"""
