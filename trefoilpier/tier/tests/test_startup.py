"""Test of signals that arrive while the process starts."""

import contextlib
import errno
import os
import signal
import subprocess
import sys
import time

from standins import published_protocol
from trefoilpier import platform
from trefoilpier.tier import daemon

_OPEN_RETRY_PAUSE_S = 0.01


def _open_for_writing(path, process):
    """Open a named pipe for writing once the process reads from it."""
    while process.poll() is None:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
            time.sleep(_OPEN_RETRY_PAUSE_S)
    raise AssertionError(
        f"exited with {process.returncode} before reading settings"
    )


def test_sighup_before_settings_are_read_does_not_end_process(
    tmp_path,
):
    # Guards against the default action of SIGHUP, which ended the process in
    # soak seed 309: the signal to reload the settings arrived one second after
    # the loss of the VM, while its process was starting again.
    path = tmp_path / "settings"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "trefoilpier.tier"],
        env={**os.environ, platform.BOOT_VARIABLE: str(path)},
        stderr=subprocess.PIPE,
    )
    settings = _open_for_writing(path, process)
    process.send_signal(signal.SIGHUP)
    # If the process has ended, its exit status is checked below.
    with contextlib.suppress(BrokenPipeError):
        os.write(settings, b"node-name=vm\n")
    os.close(settings)
    process.communicate()
    assert process.returncode == daemon.EXIT_INVALID_SETTINGS


# Modules that a VM that relays must not have executed once it has started, with
# what each costs. The first is loaded by VMs that gather.
_UNUSED_BY_RELAYING_VM = frozenset(
    {
        "hashlib",  # OpenSSL, 3.8 MB.
        "ssl",  # OpenSSL, 3.6 MB.
        "asyncio",
        "asyncio.base_events",
        "asyncio.tasks",
        "concurrent.futures",
        "expression.core",
        "expression.collections",
        "expression.effect",
        "http.client",
        "http.cookiejar",
        "email",
        "loguru",
        "pickle",
        "twisted.internet.udp",
        "twisted.internet.unix",
        "trefoilpier.shares",
        "trefoilpier.tier.policy_file",
        "trefoilpier.tier.shared_limits",
    }
)


def _modules_executed_by(cores, tmp_path):
    """Run the daemon briefly; return the names of modules it has executed."""
    # An address of this process, as two runs of the tests may overlap.
    process_number = os.getpid()
    host = f"127.9.{process_number // 250 % 250}.{process_number % 250 + 1}"
    ports = published_protocol.VmPorts(
        host=host,
        caller_port=18000,
        readiness_port=18001,
        first_internal_port=18010,
    )
    settings = tmp_path / "settings"
    settings.write_text(
        published_protocol.settings_text(
            name="vm", zone="a", ports=ports, store=f"{host}:1", cores=cores
        )
    )
    script = (
        "import sys\n"
        "from trefoilpier.tier import lazy_modules\n"
        "deferred = frozenset(lazy_modules.IMPORTER_BY_MODULE)\n"
        "lazy_modules.defer(deferred)\n"
        "from twisted.internet import reactor\n"
        "def report():\n"
        "    names = [name for name in list(sys.modules)\n"
        "        if not lazy_modules.is_deferred(name)]\n"
        "    print('executed', *names)\n"
        "    reactor.stop()\n"
        "reactor.callLater(0.2, report)\n"
        "from trefoilpier.tier import daemon\n"
        "daemon.run()\n"
    )
    run = subprocess.run(
        [sys.executable, "-c", script],
        env={**os.environ, platform.BOOT_VARIABLE: str(settings)},
        capture_output=True,
        text=True,
        check=True,
    )
    lines = run.stdout.splitlines()
    (executed,) = [line for line in lines if line.startswith("executed ")]
    return frozenset(executed.split()[1:])


def test_relaying_vm_does_not_execute_modules_that_it_does_not_use(tmp_path):
    # After a loss of all VMs, callers wait for the imports of each process, and
    # a small VM costs by its peak memory.
    executed = _modules_executed_by(0.36, tmp_path)
    assert "trefoilpier.tier.daemon" in executed
    assert executed & _UNUSED_BY_RELAYING_VM == set()


def test_gatherer_computes_no_first_digest_at_the_cost_of_an_import(tmp_path):
    # Guards against a first request that waits for OpenSSL to be loaded.
    executed = _modules_executed_by(2.15, tmp_path)
    assert executed & _UNUSED_BY_RELAYING_VM == {"hashlib"}


def test_deferred_package_gives_the_names_of_the_real_one():
    # Guards against a name that differs from the one of the whole package, and
    # against an import cycle when the whole is needed after a part.
    script = (
        "from trefoilpier.tier import lazy_modules\n"
        "deferred = frozenset(lazy_modules.IMPORTER_BY_MODULE)\n"
        "lazy_modules.defer(deferred)\n"
        "import asyncio, expression\n"
        "from asyncio import Future, iscoroutine, AbstractEventLoop\n"
        "result = expression.Result\n"
        "print(lazy_modules.is_deferred('asyncio'),\n"
        "    lazy_modules.is_deferred('expression'))\n"
        "asyncio.run(asyncio.sleep(0))\n"
        "expression.Nothing\n"
        "print(lazy_modules.is_deferred('asyncio'),\n"
        "    lazy_modules.is_deferred('expression'))\n"
        "print(asyncio.Future is Future, asyncio.iscoroutine is iscoroutine,\n"
        "    asyncio.AbstractEventLoop is AbstractEventLoop,\n"
        "    expression.Result is result)\n"
    )
    run = subprocess.run(
        [sys.executable, "-c", script],
        capture_output=True,
        text=True,
        check=True,
    )
    assert run.stdout.split() == [*2 * ["True"], *2 * ["False"], *4 * ["True"]]
