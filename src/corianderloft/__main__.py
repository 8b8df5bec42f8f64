"""Entry point of the command-line interface."""

import sys

from corianderloft._internal.cli import parser


def main() -> None:
    """Run the command-line interface and exit with its exit code."""
    sys.exit(parser.main())


if __name__ == '__main__':
    main()
