"""Run one simulator: ``python -m standins engine|service|platform``."""

import argparse
import json

from standins import _server, engine, platform, service


def main():
    """Parse the command line and serve the chosen simulator."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("kind", choices=["engine", "service", "platform"])
    parser.add_argument("--address", required=True)
    parser.add_argument("--options", default="{}", help="a JSON object")
    args = parser.parse_args()
    options = json.loads(args.options)
    if args.kind == "engine":
        app = engine.make_app(engine.EngineSettings(**options))
    elif args.kind == "service":
        app = service.make_app(**options)
    else:
        app = platform.make_app(**options)
    _server.run(app, address=args.address)


if __name__ == "__main__":
    main()
