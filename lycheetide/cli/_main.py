"""All commands of ``lycheetide``.

Exit codes: 0 success, 1 no answer from a node or the log, 2 findings in a file or an
invalid command line, 3 change refused by the fleet.
"""

import json
import os
import sys
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import anyio
import cappa

from lycheetide._version import __version__
from lycheetide.cli._config import ConfigCommand, NodeAddress, load_fleet_file
from lycheetide.cli._exits import EXIT_INVALID, EXIT_UNREACHABLE
from lycheetide.cli._node import load_settings, run_node_from_file
from lycheetide.cli._output import fetch_json
from lycheetide.metrics import describe_outcome, read_request_lines, sort_by_time


@cappa.command(
    name="node",
    help="Run a node until SIGTERM; it then finishes its requests and exits.",
    description="Example: lycheetide node --settings /etc/lycheetide/node.ini",
)
@dataclass
class NodeCommand:
    """Run a node.

    Parameters
    ----------
    settings : str
        Path of the INI file.
    """

    settings: Annotated[str, cappa.Arg(long=True, help="the node's INI file")]

    def __call__(self):
        """Run until SIGTERM."""
        run_node_from_file(self.settings)


@cappa.command(
    name="check",
    help="Check a settings file (.ini) or a configuration (.json) and report every "
    "finding.",
    description="Example: lycheetide check node.ini",
)
@dataclass
class CheckCommand:
    """Check a settings or configuration file.

    Parameters
    ----------
    file : str
        Path of the file.
    """

    file: str

    def __call__(self):
        """Print the findings, or that there are none."""
        if Path(self.file).suffix == ".json":
            load_fleet_file(self.file)
        else:
            load_settings(self.file)
        print(f"{self.file}: no findings")


@cappa.command(
    name="status",
    help="Show a node's state, its members, cells and replicas, and its counters.",
    description="Example: lycheetide status --node 10.0.0.1:9002",
)
@dataclass
class StatusCommand:
    """Show a node's status.

    Parameters
    ----------
    node : str
        Operator address of the node.
    as_json : bool
        Whether to print the whole status as JSON.
    """

    node: NodeAddress
    as_json: Annotated[bool, cappa.Arg(long="--json", help="print JSON")] = False

    def __call__(self):
        """Print the status."""
        status = fetch_json(self.node, "/status")
        if self.as_json:
            print(json.dumps(status, indent=2))
            return
        for line in format_status(status):
            print(line)


def format_status(status):
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
                f"{replica['phase']}, {state}, limit {replica['limit']}"
            )
    for name, count in sorted(status["counters"].items()):
        yield f"{name} {count}"


@cappa.command(
    name="explain",
    help="Show step by step how a request was handled, and why.",
    description="Examples: lycheetide explain 39c0a4ad7da04b74 --node 10.0.0.1:9002, "
    "lycheetide explain 39c0a4ad7da04b74 --logs entry-1.log entry-2.log",
)
@dataclass
class ExplainCommand:
    """Explain a request.

    Parameters
    ----------
    request_id : str
        Request id from the X-Request-Id header of the answer.
    node : str
        Operator address of the node that answered it; empty to read logs.
    logs : list of str
        Paths of saved logs of any number of processes.
    """

    request_id: str
    node: Annotated[
        str, cappa.Arg(long="--node", help="a node's operator address, ip:port")
    ] = ""
    logs: Annotated[
        list[str], cappa.Arg(long="--logs", num_args=-1, help="paths of saved logs")
    ] = field(default_factory=list)

    def __call__(self):
        """Print the steps or log lines."""
        if self.logs:
            self._print_log_lines()
        elif self.node:
            self._print_node_steps()
        else:
            raise cappa.Exit("got neither --node nor --logs, expected one of them",
                             code=EXIT_INVALID)  # fmt: skip

    def _print_log_lines(self):
        """Print the request's log lines ordered by time, and the cause of its end."""
        texts = (
            text
            for path in self.logs
            for text in Path(path).read_text(errors="replace").splitlines()
        )
        lines = sort_by_time(read_request_lines(texts, self.request_id))
        for line in lines:
            fields_text = ", ".join(
                f"{key}={value}" for key, value in line.fields.items()
            )
            print(f"{line.time}  {line.node}  {line.message}  {fields_text}")
        print(f"cause: {describe_outcome(lines)}")

    def _print_node_steps(self):
        """Print the steps that the node still holds of the request."""
        for step in fetch_json(self.node, f"/explain/{self.request_id}")["steps"]:
            after_ms = step.pop("after_ms")
            what = step.pop("what")
            fields_text = ", ".join(f"{key}={value}" for key, value in step.items())
            print(f"{after_ms:10.2f} ms  {what}  {fields_text}")


@cappa.command(
    name="losses",
    help="Show which requests were lost and why, from the saved logs of a fleet.",
    description="Example: lycheetide losses entry-1.log entry-2.log --plot losses.png",
)
@dataclass
class LossesCommand:
    """Summarize lost requests and their causes.

    Parameters
    ----------
    logs : list of str
        Paths of saved logs, one file per process, each ordered by time.
    as_json : bool
        Whether to print JSON.
    plot_path : str
        Path of the plot to write; empty for none.
    probes : list of str
        Routes whose requests only probe which configuration is in force.
    """

    logs: list[str]
    as_json: Annotated[bool, cappa.Arg(long="--json", help="print JSON")] = False
    plot_path: Annotated[str, cappa.Arg(long="--plot", help="write a plot as PNG")] = ""
    probes: Annotated[
        list[str],
        cappa.Arg(long="--probe", help="a route of probes only; counted separately"),
    ] = field(default_factory=list)

    def __call__(self):
        """Read the logs and print the summary."""
        from lycheetide.losses import format_summary, read_events, summarize

        with open_logs(self.logs) as files:
            summary = summarize(read_events(files), probes=frozenset(self.probes))
        print_report(summary, format_summary, as_json=self.as_json)
        if self.plot_path:
            plot_losses(self.logs, self.plot_path)


@cappa.command(
    name="prices",
    help="Sum up a fleet's billable resource usage from its processes' saved logs.",
    description="Example: lycheetide prices entry-1.log entry-2.log --plot prices.png",
)
@dataclass
class PricesCommand:
    """Summarize billable resource usage.

    Parameters
    ----------
    logs : list of str
        Paths of saved logs, one file per process, each ordered by time.
    as_json : bool
        Whether to print JSON.
    plot_path : str
        Path of the plot to write; empty for none.
    """

    logs: list[str]
    as_json: Annotated[bool, cappa.Arg(long="--json", help="print JSON")] = False
    plot_path: Annotated[str, cappa.Arg(long="--plot", help="write a plot as PNG")] = ""

    def __call__(self):
        """Read the logs and print the usage."""
        from lycheetide.losses import (
            format_usage,
            read_events,
            save_usage_plot,
            sum_usage,
        )

        with open_logs(self.logs) as files:
            prices = sum_usage(read_events(files))
        print_report(prices, format_usage, as_json=self.as_json)
        if self.plot_path:
            save_usage_plot(prices, self.plot_path)


def print_report(result, format_lines, *, as_json):
    """Print a result as JSON, or as the lines that ``format_lines`` yields for it."""
    import msgspec

    if as_json:
        print(msgspec.json.format(msgspec.json.encode(result)).decode())
        return
    for line in format_lines(result):
        print(line)


@contextmanager
def open_logs(paths):
    """Open the logs, or exit if one can't be read; close them after the block."""
    with ExitStack() as stack:
        try:
            files = [
                stack.enter_context(open(path, errors="replace")) for path in paths
            ]
        except OSError as error:
            raise cappa.Exit(
                f"a log can't be read: {error}", code=EXIT_INVALID
            ) from None
        yield files


def plot_losses(paths, plot_path):
    """Plot the prefills and the lost requests of each replica."""
    from lycheetide.losses import detect_losses, read_events, save_loss_plot

    reads: list = []
    with open_logs(paths) as files:
        losses = list(detect_losses(read_events(files), on_read=reads.append))
    save_loss_plot(reads, losses, plot_path)


@cappa.command(
    name="load",
    help="Send a seeded random load of prompts of mixed lengths and report latencies.",
    description="Example: lycheetide load http://10.0.0.1:8080 --token secret "
    "--model assistant --requests 200 --rate 20 --seed 7 --plot load.png",
)
@dataclass
class LoadCommand:
    """Send a load and report latencies.

    Parameters
    ----------
    urls : list of str
        URLs of the nodes, used in turn.
    token, model : str
        Token of the customer, and name of the model.
    requests, rate, seed, longest : int or float
        Number of requests, requests per second, random seed, and length of the longest
        prompt in tokens.
    json_path, plot_path : str
        Paths of the JSON report and of the plot to write; empty for none.
    classes : list of str
        Request classes of short and of huge prompts.
    """

    urls: list[str]
    token: Annotated[str, cappa.Arg(long=True, help="the customer's token")]
    model: Annotated[str, cappa.Arg(long=True, help="name of the model")]
    requests: Annotated[int, cappa.Arg(long=True, help="number of requests")] = 100
    rate: Annotated[float, cappa.Arg(long=True, help="requests per second")] = 10.0
    seed: Annotated[int, cappa.Arg(long=True, help="random seed")] = 0
    longest: Annotated[int, cappa.Arg(long=True, help="longest prompt in tokens")] = (
        1_000_000
    )
    json_path: Annotated[
        str, cappa.Arg(long="--json", help="write the report as JSON")
    ] = ""
    plot_path: Annotated[str, cappa.Arg(long="--plot", help="write a plot as PNG")] = ""
    classes: Annotated[
        list[str],
        cappa.Arg(
            long="--classes", num_args=2, help="classes of short and of huge prompts"
        ),
    ] = field(default_factory=list)

    def __call__(self):
        """Send the load, wait for all answers and print the report."""
        from lycheetide.load import (
            format_report,
            make_report,
            plan_requests,
            run_load,
            save_latency_plot,
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
        for line in format_report(report):
            print(line)
        if self.json_path:
            Path(self.json_path).write_text(json.dumps(report, indent=2) + "\n")
        if self.plot_path:
            save_latency_plot(outcomes, self.plot_path)


@cappa.command(
    name="quarantines",
    help="List what is kept from replicas, or lift a quarantine.",
    description="Example: lycheetide quarantines --store 10.200.1.7:8223 --lift 4b9f0f",
)
@dataclass
class QuarantinesCommand:
    """List quarantines of prompt parts and requests, or lift one.

    Parameters
    ----------
    store : str
        Address of the platform's store.
    lift : str
        Name of the quarantine to lift, or its beginning; empty to list all.
    """

    store: Annotated[str, cappa.Arg(long=True, help="address of the store")]
    lift: Annotated[
        str, cappa.Arg(long=True, help="name of a quarantine, or its beginning")
    ] = ""

    def __call__(self):
        """Print the quarantines, or lift one; the nodes follow within seconds."""
        from lycheetide.cli._quarantines import format_entry, list_or_lift
        from lycheetide.exchange import StoreUnavailable

        try:
            entries = anyio.run(list_or_lift, self.store, self.lift)
        except StoreUnavailable as error:
            raise cappa.Exit(str(error), code=EXIT_UNREACHABLE) from None
        if self.lift and not entries:
            raise cappa.Exit(
                f"not exactly one quarantine begins with {self.lift!r}",
                code=EXIT_INVALID,
            )
        for entry in entries:
            print(format_entry(entry))


@cappa.command(
    name="lycheetide", help="A serving layer for prompts of very different lengths."
)
@dataclass
class Lycheetide:
    """The program.

    Parameters
    ----------
    command : object
        Command to run.
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
        | QuarantinesCommand
    ]


def main():
    """Run the command line; output that nobody reads any more isn't an error."""
    version: cappa.Arg[str] = cappa.Arg(__version__, long=True, help="show the version")
    try:
        cappa.invoke(Lycheetide, version=version)
        sys.stdout.flush()
    except BrokenPipeError:
        # The interpreter flushes standard output once more when it exits.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
