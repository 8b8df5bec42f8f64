"""Decides how many engines of a service are ordered, where and of which kind.

Pure decisions over observations and a recorded state, without network or
clock. `gateway.duties.scaling_orders` collects the observations and sends the
orders.
"""
