"""Prints the times from publication to being in force, from the log lines of daemons on standard input."""

import re
import sys

published, in_force = {}, []
for line in sys.stdin:
    match = re.search(r"(\d\d):(\d\d):(\d\d)[.,](\d{3}).*generation (\d+) (published|in force)", line)
    if not match:
        continue
    hours, minutes, seconds, millis, generation = (int(group) for group in match.groups()[:5])
    at = ((hours * 60 + minutes) * 60 + seconds) * 1000 + millis
    if match.group(6) == "published":
        published[generation] = at
    else:
        in_force.append((generation, at))
times = sorted(at - published[generation] for generation, at in in_force if generation in published)
print(f"generations {len(published)}, samples {len(times)}, "
      f"ms from acceptance to in force: p50 {times[len(times) // 2]}, max {times[-1]}")
