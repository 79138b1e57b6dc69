"""Adapts the routers to the platform that they run on.

Headers, document fields, topics and paths of the platform occur only in this
package. Each module translates one of the platform's formats to and from the
records in `core/`.
"""
