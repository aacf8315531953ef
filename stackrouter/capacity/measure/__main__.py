"""Measures one point: `python -m stackrouter.capacity.measure NAME SIZE` prints its figures as JSON."""

from __future__ import annotations

import gc
import json
import logging
import sys

from stackrouter.__main__ import GC_THRESHOLD
from stackrouter.capacity.measure.plan import find_measurement
from stackrouter.errors import StackrouterError


def main() -> int:
    logging.disable(logging.INFO)
    gc.set_threshold(GC_THRESHOLD)  # the threshold of a gateway process
    try:
        print(json.dumps(find_measurement(sys.argv[1]).task(int(sys.argv[2]))))
    except StackrouterError as error:
        print(error.one_line(), file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
