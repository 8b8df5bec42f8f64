"""Starts an entry host on the users' platform."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[0] = str(ROOT / 'src')

from corianderloft._internal.platform import daemon  # noqa: E402

sys.exit(daemon.main())
