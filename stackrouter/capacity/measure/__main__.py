"""One point by itself: `python -m stackrouter.capacity.measure NAME SIZE` prints its figures as JSON."""

from __future__ import annotations

import json
import logging
import sys

from stackrouter.capacity.measure.plan import named
from stackrouter.errors import StackrouterError


def main() -> int:
    logging.disable(logging.INFO)
    try:
        print(json.dumps(named(sys.argv[1]).task(int(sys.argv[2]))))
    except StackrouterError as error:
        print(error.whole(), file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
