"""Entry point of the command line."""

import sys

from corianderloft._internal.cli import parser


def main() -> None:
    """Run the command line and end the process with its exit code."""
    sys.exit(parser.main())


if __name__ == '__main__':
    main()
