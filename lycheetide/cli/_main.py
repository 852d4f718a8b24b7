"""All commands of ``lycheetide``.

Exit codes: 0 done, 1 a node or the log gave no answer, 2 findings in a file or in
the command line, 3 the fleet refused the change.
"""

import json
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import anyio
import cappa

from lycheetide._version import __version__
from lycheetide.cli._config import ConfigCommand, NodeAddress, load_document
from lycheetide.cli._exits import EXIT_FAULTS
from lycheetide.cli._node import load_settings, run_from_file
from lycheetide.cli._output import fetch
from lycheetide.metrics import describe_outcome, read_request_lines, sort_by_time


@cappa.command(
    name="node",
    help="Run a node until SIGTERM; it then leaves without cutting a request.",
    description="Example: lycheetide node --settings /etc/lycheetide/node.ini",
)
@dataclass
class NodeCommand:
    """Run a node.

    Parameters
    ----------
    settings : str
        The INI file.
    """

    settings: Annotated[str, cappa.Arg(long=True, help="the node's INI file")]

    def __call__(self):
        """Run until SIGTERM."""
        run_from_file(self.settings)


@cappa.command(
    name="check",
    help="Check a settings file (.ini) or a configuration (.json) and report every "
    "finding.",
    description="Example: lycheetide check node.ini",
)
@dataclass
class CheckCommand:
    """Check a file.

    Parameters
    ----------
    file : str
        The file.
    """

    file: str

    def __call__(self):
        """Print the findings, or that there are none."""
        if Path(self.file).suffix == ".json":
            load_document(self.file)
        else:
            load_settings(self.file)
        print(f"{self.file}: no findings")


@cappa.command(
    name="status",
    help="Show what a node owns, knows and refuses.",
    description="Example: lycheetide status --node 10.0.0.1:9002",
)
@dataclass
class StatusCommand:
    """Show a node's status.

    Parameters
    ----------
    node : str
        Its operator address.
    as_json : bool
        Whether to print all of it as JSON.
    """

    node: NodeAddress
    as_json: Annotated[bool, cappa.Arg(long="--json", help="print JSON")] = False

    def __call__(self):
        """Print it."""
        status = fetch(self.node, "/status")
        if self.as_json:
            print(json.dumps(status, indent=2))
            return
        for line in describe_status(status):
            print(line)


def describe_status(status):
    """Yield the lines of a node's status."""
    yield (
        f"{status['node']} is {status['state']}; fresh {status['fresh']}, "
        f"log read {status['log_age_s']} s ago"
    )
    yield (
        f"configuration {status['config_version']}, view {status['view']} "
        f"(settled {status['settled_view']}), acting as owner {status['acting']}"
    )
    yield f"members: {', '.join(status['members'])}"
    yield f"active requests {status['active_requests']}, permits {status['permits']}"
    for cell in status["cells"]:
        yield (
            f"cell {cell['cell']}: waiting {cell['waiting']}, "
            f"permits {cell['permits']}, lost {cell['lost_permits']}"
        )
        for replica in cell["replicas"]:
            state = "open" if replica["open"] else "closed"
            yield (
                f"  {replica['upstream']} in {replica['failure_domain']}: "
                f"{replica['phase']}, {state}, bears {replica['limit']}"
            )
    for name, count in sorted(status["counters"].items()):
        yield f"{name} {count}"


@cappa.command(
    name="explain",
    help="Show why a recent request went where it went, step by step.",
    description="Examples: lycheetide explain 39c0a4ad7da04b74 --node 10.0.0.1:9002, "
    "lycheetide explain 39c0a4ad7da04b74 --logs entry-1.log entry-2.log",
)
@dataclass
class ExplainCommand:
    """Explain a request.

    Parameters
    ----------
    request_id : str
        From the answer's X-Request-Id header.
    node : str
        The operator address of the node that answered it; empty to read logs.
    logs : list of str
        Saved logs of any number of processes.
    """

    request_id: str
    node: Annotated[
        str, cappa.Arg(long="--node", help="a node's operator address, ip:port")
    ] = ""
    logs: Annotated[
        list[str], cappa.Arg(long="--logs", num_args=-1, help="saved logs")
    ] = field(default_factory=list)

    def __call__(self):
        """Print the steps."""
        if self.logs:
            self._read_logs()
        elif self.node:
            self._ask_node()
        else:
            raise cappa.Exit("got neither --node nor --logs, expected one of them",
                             code=EXIT_FAULTS)  # fmt: skip

    def _read_logs(self):
        """Print the request's lines in order, and the cause of its end."""
        texts = (
            text
            for path in self.logs
            for text in Path(path).read_text(errors="replace").splitlines()
        )
        lines = sort_by_time(read_request_lines(texts, self.request_id))
        for line in lines:
            rest = ", ".join(f"{key}={value}" for key, value in line.fields.items())
            print(f"{line.time}  {line.node}  {line.message}  {rest}")
        print(f"cause: {describe_outcome(lines)}")

    def _ask_node(self):
        """Print the steps that a node remembers."""
        for step in fetch(self.node, f"/explain/{self.request_id}")["steps"]:
            after_ms = step.pop("after_ms")
            what = step.pop("what")
            rest = ", ".join(f"{key}={value}" for key, value in step.items())
            print(f"{after_ms:10.2f} ms  {what}  {rest}")


@cappa.command(
    name="losses",
    help="Say where service was lost, from the saved logs of a fleet's processes.",
    description="Example: lycheetide losses entry-1.log entry-2.log --plot losses.png",
)
@dataclass
class LossesCommand:
    """Account for what was lost.

    Parameters
    ----------
    logs : list of str
        Saved logs, a file a process, each in order.
    as_json : bool
        Whether to print JSON.
    plot_path : str
        Where a plot goes besides; empty for none.
    probes : list of str
        Routes whose requests only probe which configuration is in force.
    """

    logs: list[str]
    as_json: Annotated[bool, cappa.Arg(long="--json", help="print JSON")] = False
    plot_path: Annotated[str, cappa.Arg(long="--plot", help="draw a PNG")] = ""
    probes: Annotated[
        list[str],
        cappa.Arg(long="--probe", help="a route that only probes; counted apart"),
    ] = field(default_factory=list)

    def __call__(self):
        """Read the logs and print the account."""
        from lycheetide.losses import format_summary, read_events, summarize

        with open_logs(self.logs) as files:
            summary = summarize(read_events(files), probes=frozenset(self.probes))
        print_account(summary, format_summary, as_json=self.as_json)
        if self.plot_path:
            draw_losses(self.logs, self.plot_path)


@cappa.command(
    name="prices",
    help="Sum up what a fleet used that is paid for, from its processes' saved logs.",
    description="Example: lycheetide prices entry-1.log entry-2.log --plot prices.png",
)
@dataclass
class PricesCommand:
    """Account for what was used.

    Parameters
    ----------
    logs : list of str
        Saved logs, a file a process, each in order.
    as_json : bool
        Whether to print JSON.
    plot_path : str
        Where a plot goes besides; empty for none.
    """

    logs: list[str]
    as_json: Annotated[bool, cappa.Arg(long="--json", help="print JSON")] = False
    plot_path: Annotated[str, cappa.Arg(long="--plot", help="draw a PNG")] = ""

    def __call__(self):
        """Read the logs and print the account."""
        from lycheetide.losses import (
            format_usage,
            read_events,
            save_usage_plot,
            sum_usage,
        )

        with open_logs(self.logs) as files:
            prices = sum_usage(read_events(files))
        print_account(prices, format_usage, as_json=self.as_json)
        if self.plot_path:
            save_usage_plot(prices, self.plot_path)


def print_account(account, describe, *, as_json):
    """Print an account as JSON, or the lines that describe it."""
    import msgspec

    if as_json:
        print(msgspec.json.format(msgspec.json.encode(account)).decode())
        return
    for line in describe(account):
        print(line)


@contextmanager
def open_logs(paths):
    """Open logs, or exit; they are closed behind the block."""
    with ExitStack() as stack:
        try:
            files = [
                stack.enter_context(open(path, errors="replace")) for path in paths
            ]
        except OSError as error:
            raise cappa.Exit(
                f"a log can't be read: {error}", code=EXIT_FAULTS
            ) from None
        yield files


def draw_losses(paths, plot_path):
    """Draw what replicas read and where requests were lost."""
    from lycheetide.losses import detect_losses, read_events, save_loss_plot

    reads: list = []
    with open_logs(paths) as files:
        losses = list(detect_losses(read_events(files), on_read=reads.append))
    save_loss_plot(reads, losses, plot_path)


@cappa.command(
    name="load",
    help="Send prompts of mixed lengths, drawn from a seed, and report.",
    description="Example: lycheetide load http://10.0.0.1:8080 --token secret "
    "--model assistant --requests 200 --rate 20 --seed 7 --plot load.png",
)
@dataclass
class LoadCommand:
    """Send a load.

    Parameters
    ----------
    urls : list of str
        The nodes' addresses, used in turn.
    token, model : str
        Whose load it is and what it asks.
    requests, rate, seed, longest : int or float
        The load.
    json_path, plot_path : str
        Where the report and the plot go besides.
    """

    urls: list[str]
    token: Annotated[str, cappa.Arg(long=True, help="the customer's token")]
    model: Annotated[str, cappa.Arg(long=True, help="the model")]
    requests: Annotated[int, cappa.Arg(long=True, help="how many")] = 100
    rate: Annotated[float, cappa.Arg(long=True, help="how many a second")] = 10.0
    seed: Annotated[int, cappa.Arg(long=True, help="the seed")] = 0
    longest: Annotated[int, cappa.Arg(long=True, help="longest prompt, tokens")] = (
        1_000_000
    )
    json_path: Annotated[
        str, cappa.Arg(long="--json", help="write the report as JSON")
    ] = ""
    plot_path: Annotated[str, cappa.Arg(long="--plot", help="draw a PNG")] = ""
    classes: Annotated[
        list[str],
        cappa.Arg(long="--classes", num_args=2, help="short class, then huge class"),
    ] = field(default_factory=list)

    def __call__(self):
        """Send, wait and report."""
        from lycheetide.load import (
            make_report,
            plan_requests,
            print_table,
            run_load,
            save_plot,
        )

        short_class, huge_class = self.classes or ("quote", "archive")
        plan = plan_requests(
            self.requests,
            rate_per_s=self.rate,
            random_state=self.seed,
            longest_tokens=self.longest,
            short_class=short_class,
            huge_class=huge_class,
        )

        async def send():
            return await run_load(self.urls, plan, token=self.token, model=self.model)

        outcomes = anyio.run(send)
        report = make_report(outcomes, seed=self.seed)
        for line in print_table(report):
            print(line)
        if self.json_path:
            Path(self.json_path).write_text(json.dumps(report, indent=2) + "\n")
        if self.plot_path:
            save_plot(outcomes, self.plot_path)


@cappa.command(
    name="lycheetide", help="A serving layer for prompts of very different lengths."
)
@dataclass
class Lycheetide:
    """The program.

    Parameters
    ----------
    command : object
        What to do.
    """

    command: cappa.Subcommands[
        NodeCommand
        | CheckCommand
        | ConfigCommand
        | StatusCommand
        | ExplainCommand
        | LossesCommand
        | PricesCommand
        | LoadCommand
    ]


def main():
    """Run the command line."""
    version: cappa.Arg[str] = cappa.Arg(__version__, long=True, help="the version")
    cappa.invoke(Lycheetide, version=version)
