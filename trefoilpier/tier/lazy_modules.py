"""Modules that are loaded at their first use only.

A VM that starts serves nobody until its imports are done, and the memory that
they take counts for as long as it runs.
"""

import importlib
import importlib.machinery
import sys
import types
from collections.abc import Mapping, Sequence
from typing import Any

# Modules that the daemon's imports load but that no VM, or not every VM, uses,
# with the importer. Each saves at least 0.5 % of the startup time or memory.
IMPORTER_BY_MODULE: Mapping[str, str] = types.MappingProxyType(
    {
        # OpenSSL's library takes 3.8 MB. Only VMs that gather or follow the
        # store compute digests.
        "hashlib": "trefoilpier.base, .accounts and .quarantine",
        # With TLS, subprocesses and thread pools 8 MB and a tenth of the time.
        # Only three names are needed; see `_HOME_BY_NAME`.
        "asyncio": "twisted.internet.defer",
        "concurrent.futures": "asyncio.futures",
        # Containers, mailboxes and more; the tier uses only `Result`.
        "expression": "trefoilpier",
        "expression.core": "expression",
        # The HTTP client, the e-mail package and more.
        "http.cookiejar": "twisted.python.compat",
        "ipaddress": "urllib.parse",
        "pickle": "twisted.python.reflect",
        "textwrap": "traceback",
        "tokenize": "linecache",
        # Other transports.
        "twisted.internet.udp": "twisted.internet.posixbase",
        "twisted.internet.unix": "twisted.internet.posixbase",
    }
)
# Submodules that hold the names which importers take from a deferred package,
# so that these names do not need the whole package.
_HOME_BY_NAME: Mapping[str, Mapping[str, str]] = types.MappingProxyType(
    {
        "asyncio": {
            "AbstractEventLoop": "events",
            "Future": "futures",
            "iscoroutine": "coroutines",
        },
        "expression": {
            "Error": "core.result",
            "Ok": "core.result",
            "Result": "core.result",
        },
        "expression.core": {},
    }
)


class _DeferredModule(types.ModuleType):
    """Module that is executed when an attribute of it is first needed."""

    def __getattr__(self, name: str) -> Any:
        home_by_name = _HOME_BY_NAME.get(self.__name__)
        if home_by_name is None:
            load(self)
            return getattr(self, name)
        if name in home_by_name:
            value = getattr(_import_from(self, home_by_name[name]), name)
            setattr(self, name, value)
            return value
        # Its submodules import one another from it.
        if _has_submodule(self, name):
            return _import_from(self, name)
        load(self)
        return getattr(self, name)


def _has_submodule(package: types.ModuleType, name: str) -> bool:
    full_name = f"{package.__name__}.{name}"
    find_spec = importlib.machinery.PathFinder.find_spec
    return find_spec(full_name, package.__path__) is not None


def _import_from(package: types.ModuleType, name: str) -> types.ModuleType:
    return importlib.import_module(f"{package.__name__}.{name}")


class _DeferringLoader:
    """Loader that leaves the execution of a module to `load`."""

    __slots__ = ("loader",)

    def __init__(self, *, loader: Any) -> None:
        self.loader = loader

    def create_module(
        self, spec: importlib.machinery.ModuleSpec
    ) -> types.ModuleType | None:
        """Let the import system create the module."""
        return None

    def exec_module(self, module: types.ModuleType) -> None:
        """Defer the execution.

        `importlib.util.LazyLoader` is not used, since in Python 3.11 the second
        import of a module executes it.
        """
        module.__class__ = _DeferredModule


class DeferringFinder:
    """Finder of the modules whose execution is deferred."""

    __slots__ = ("_names",)

    def __init__(self, *, names: frozenset[str]) -> None:
        self._names = names

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the usual spec with a deferring loader."""
        if name not in self._names:
            return None
        spec = importlib.machinery.PathFinder.find_spec(name, path)
        if spec is not None and spec.loader is not None:
            spec.loader = _DeferringLoader(loader=spec.loader)
        return spec


def defer(names: frozenset[str]) -> None:
    """Defer the execution of modules until an attribute of them is used.

    Imports must happen in one thread only.

    Args:
        names: Full names of modules; those imported already are not affected.

    >>> defer(frozenset({"sched"}))
    >>> import sched
    >>> is_deferred("sched")
    True
    >>> sched.scheduler.__name__, is_deferred("sched")
    ('scheduler', False)
    """
    sys.meta_path.insert(0, DeferringFinder(names=names))


def is_deferred(name: str) -> bool:
    """Return whether a module was imported, but has not been executed."""
    return isinstance(sys.modules.get(name), _DeferredModule)


def load(module: types.ModuleType) -> None:
    """Execute a deferred module now; do nothing if it has been executed."""
    if not isinstance(module, _DeferredModule):
        return
    spec = module.__spec__
    deferring = spec.loader if spec is not None else None
    if spec is None or not isinstance(deferring, _DeferringLoader):
        return
    spec.loader = module.__loader__ = deferring.loader
    # Before the execution, so that an import cycle does not start it again.
    module.__class__ = types.ModuleType
    spec.loader.exec_module(module)
