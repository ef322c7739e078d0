"""A query tier between callers and back ends that search many shards.

The subpackages, from the bottom up: ``base`` (clock, results, events),
``config`` (the operators' objects), ``platform`` (the store and the membership
list), ``membership`` (live nodes), ``leaf`` (the client of backend servers),
``limits`` (connections, concurrency, budgets), ``routing`` (which replica,
which gatherer, which snapshot), ``once`` (requests that run at most once),
``peer`` (the protocol between entry VMs), ``node`` (one process) and ``cli``.
"""

__version__ = "0.1.0"
