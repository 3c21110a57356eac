"""Runs one case: its deployment, its record, its exit status."""

import asyncio
import os
import signal
import sys

from deployment import CannotRun, Deployment, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, site, play):
    """Plays a case and exits: 0 the rule held, 1 it was broken, 2 the case could not run.

    `play(deployment, record)` returns whether the rule was broken.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(os.path.join(folder, "record.txt"))
    record.write(f"TROUBLE={int(TROUBLE)}")
    try:
        deployment = Deployment(site, record)
    except (CannotRun, OSError) as failure:
        record.write(f"could not run: {failure!r}")
        sys.exit(2)
    status = 2
    try:
        is_broken = asyncio.run(asyncio.wait_for(play(deployment, record), 100))
        status = 1 if is_broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as failure:
        record.write(f"could not run: {failure!r}")
    finally:
        deployment.stop()
    sys.exit(status)
