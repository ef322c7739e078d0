"""A query tier between callers and backend servers that search many shards.

The main subpackages, lower layers first: ``base`` (clock, result codes, log
events), ``accounts`` (client accounts, keys and quotas), ``config`` (the
operators' configuration objects), ``platform`` (the shared store and the
membership list), ``membership`` (live nodes), ``leaf``
(the client of backend servers), ``limits`` (connection and concurrency limits,
retry budgets), ``routing`` (choice of replica, gatherer and snapshot),
``idempotency`` (requests that run at most once), ``peer`` (the protocol between
entry VMs), ``node`` (the daemon process) and ``cli`` (the operators' command
line).
"""

__version__ = "0.1.0"
