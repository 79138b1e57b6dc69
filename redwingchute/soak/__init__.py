"""A fault soak of real processes on loopback.

It starts gateways, upstreams and a metadata store as processes, injects faults
into them from outside while callers send requests, and then checks what callers
and upstreams saw.
"""
