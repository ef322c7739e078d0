"""Modules that are loaded at their first use only.

A VM that starts serves nobody until its imports are done.
"""

import importlib.util
import sys

# Twisted imports it for other programs, and it imports the HTTP client, the
# e-mail package and more of the standard library.
UNUSED_BY_DAEMON = ("http.cookiejar",)


def load_lazily(name: str) -> None:
    """Defer the execution of a module until an attribute of it is used.

    Args:
        name: Full name of a module that is not imported yet.

    >>> load_lazily("sched")
    >>> sys.modules["sched"].scheduler.__name__
    'scheduler'
    """
    spec = importlib.util.find_spec(name)
    if name in sys.modules or spec is None or spec.loader is None:
        return
    spec.loader = importlib.util.LazyLoader(spec.loader)
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    parent, _, child = name.rpartition(".")
    if parent:
        setattr(sys.modules[parent], child, module)
