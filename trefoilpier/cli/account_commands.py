"""Commands about client accounts: their usage, their keys."""

import secrets
import uuid
from typing import Any

import expression
from cleo.helpers import argument, option

from trefoilpier import config
from trefoilpier.base import ResultCode
from trefoilpier.cli import common, objects_commands, vm_commands

_HTTP_OK = 200
_KEY_BYTES = 24
_ACCOUNT_KIND = "account"
_ACCOUNT_ARGUMENT = argument("account", "Name of the account.")


class AccountsUsageCommand(common.BaseCommand):
    """The command that shows what became of the requests of accounts."""

    name = "accounts usage"
    description = "Show the requests and the quota of each client account."
    options = [
        option(
            "vm",
            None,
            "IP:PORT of the metrics page of a VM that gathers.",
            flag=False,
        ),
        common.JSON_OPTION,
    ]
    help = """Examples:
  trefoilpier accounts usage --vm 10.0.0.7:9464

Counts what this VM has decided since its start. 'quota' are requests beyond
the account's quota, 'below quota' those refused since the VM could not get a
part of a quota that was not used up, 'otherwise' all other refusals.
Exit status: 0 printed, 2 invalid arguments, 7 no response."""

    async def run_async(self) -> int:
        """Fetch the counters from the VM and print them."""
        host, port = common.parse_address(self.option("vm") or "")
        response = await vm_commands.send_vm_request(
            host, port, "GET", "/accounts"
        )
        if response is None or response[0] != _HTTP_OK:
            self.line_error(f"<error>no counters from {host}:{port}</error>")
            return common.EXIT_REQUEST_FAILED
        document = response[1]
        if self.option("json"):
            self.print_json(document)
            return common.EXIT_OK
        if not document["used"]:
            self.line_error(
                "no accounts are in force on this VM; one that relays has none"
            )
        self.print_table(
            (
                "account",
                "admitted",
                "refused: quota",
                "below quota",
                "otherwise",
                "per s",
                "burst",
            ),
            (_table_row(row) for row in document["accounts"]),
        )
        return common.EXIT_OK


def _table_row(row: dict[str, Any]) -> tuple[str, ...]:
    return (
        row["account"] if row["in_force"] else f"{row['account']} (removed)",
        str(row["admitted"]),
        str(row["refused_quota"]),
        str(row["refused_below_quota"]),
        str(row["refused_otherwise"]),
        "-" if row["rate"] is None else f"{row['rate']:g}",
        "-" if row["burst"] is None else f"{row['burst']:g}",
    )


class AccountsListCommand(common.BaseCommand):
    """The command that lists the published accounts."""

    name = "accounts list"
    description = "List the published accounts and the digests of their keys."
    options = [common.PLATFORM_OPTION, common.JSON_OPTION]
    help = """Examples:
  trefoilpier accounts list

Exit status: 0 printed, 6 the store is unavailable."""

    async def run_async(self) -> int:
        """Fetch the published objects and print the accounts."""
        result = await objects_commands.fetch_published(self.open_store())
        if result.is_error():
            return self.report_store_unavailable(result.error)
        rows = {
            raw.name: config.read_digests(raw)
            for raw in result.ok[1]
            if raw.kind == _ACCOUNT_KIND
        }
        if self.option("json"):
            self.print_json(rows)
            return common.EXIT_OK
        if not rows:
            self.line("no accounts: requests need no key")
            return common.EXIT_OK
        self.print_table(
            ("account", "digest of key"),
            (
                (name, digest)
                for name in sorted(rows)
                for digest in rows[name] or ("-",)
            ),
        )
        return common.EXIT_OK


class _ChangeKeysCommand(common.BaseCommand):
    """A command that publishes a change of one account's keys."""

    async def publish_change(self, change: Any) -> config.PublishOutcome | None:
        """Publish changed objects; None if an error has been printed.

        Args:
            change: Returns the changed objects, given the published ones.

        Raises:
            UsageError: If the change is not possible.
        """
        store = self.open_store()
        result = await objects_commands.fetch_published(store)
        if result.is_error():
            self.report_store_unavailable(result.error)
            return None
        manifest, objects = result.ok
        changed: expression.Result = change(objects)
        if changed.is_error():
            raise common.UsageError(changed.error)
        publisher = config.Publisher(store=store, clock=self.clock())
        return await publisher.publish(
            changed.ok,
            token=uuid.uuid4().hex,
            expect=manifest.version if manifest else 0,
        )

    def report_outcome(self, outcome: config.PublishOutcome, done: str) -> int:
        """Print the outcome and return the exit status."""
        status = objects_commands.EXIT_BY_STATE[outcome.state]
        if outcome.state == config.PublishState.ACCEPTED:
            self.line(
                f"{ResultCode.PUBLISHED} version {outcome.version}: {done}. "
                "Change your files as well: the next publish replaces all."
            )
            return status
        for finding in outcome.findings:
            self.line(str(finding))
        if outcome.state == config.PublishState.UNKNOWN:
            self.line_error(
                f"<error>{ResultCode.PUBLISH_UNKNOWN} not yet known whether it "
                "was accepted; check 'trefoilpier accounts list'</error>"
            )
            return status
        self.line_error(
            f"<error>nothing was changed: {outcome.state} "
            f"{outcome.detail}</error>"
        )
        return status


class AccountsAddKeyCommand(_ChangeKeysCommand):
    """The command that makes a key and publishes its digest."""

    name = "accounts add-key"
    description = "Make a key for an account and publish its digest."
    arguments = [_ACCOUNT_ARGUMENT]
    options = [
        option(
            "create",
            None,
            "Create the account. With the first account, all services need a "
            "key that do not have 'anonymous = yes'.",
        ),
        common.PLATFORM_OPTION,
    ]
    help = """Examples:
  trefoilpier accounts add-key crew
  trefoilpier accounts add-key crew --create

Prints the key, which is stored nowhere and cannot be shown again.
Exit status: 0 accepted, 2 no such account, 3 the set has findings, 4 another
version was published first, 5 outcome unknown, 6 the store is unavailable."""

    async def run_async(self) -> int:
        """Publish the digest of a new key and print the key."""
        account = self.argument("account")
        key = secrets.token_urlsafe(_KEY_BYTES)
        digest = config.digest_text(key.encode())
        outcome = await self.publish_change(
            lambda objects: config.add_digest(
                objects,
                account=account,
                digest=digest,
                create=self.option("create"),
            )
        )
        if outcome is None:
            return common.EXIT_STORE_UNAVAILABLE
        status = self.report_outcome(
            outcome, f"[account {account}] has key_digests {digest}"
        )
        if status in (common.EXIT_OK, common.EXIT_UNCONFIRMED):
            self.line(f"digest {digest}")
            self.line(f"key    {key}")
        return status


class AccountsWithdrawKeyCommand(_ChangeKeysCommand):
    """The command that withdraws a key by its digest."""

    name = "accounts withdraw-key"
    description = "Withdraw a key of an account."
    arguments = [
        _ACCOUNT_ARGUMENT,
        argument("digest", "Digest of the key, or its first characters."),
    ]
    options = [common.PLATFORM_OPTION]
    help = """Examples:
  trefoilpier accounts withdraw-key crew 8dc433

Exit status: 0 accepted, 2 no such account or key, 3 the set has findings, 4
another version was published first, 5 outcome unknown, 6 the store is
unavailable."""

    async def run_async(self) -> int:
        """Publish the objects without the digest."""
        account, prefix = self.argument("account"), self.argument("digest")
        outcome = await self.publish_change(
            lambda objects: config.withdraw_digest(
                objects, account=account, prefix=prefix
            )
        )
        if outcome is None:
            return common.EXIT_STORE_UNAVAILABLE
        return self.report_outcome(
            outcome, f"[account {account}] no longer has {prefix}"
        )


COMMANDS = (
    AccountsUsageCommand,
    AccountsListCommand,
    AccountsAddKeyCommand,
    AccountsWithdrawKeyCommand,
)
