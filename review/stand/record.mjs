/** Writes what was sent, answered and run to record.txt of a case. */

import { createWriteStream } from "node:fs";
import { join } from "node:path";

export function startRecord(directory) {
  const stream = createWriteStream(join(directory, "record.txt"));
  const startedAtMs = Date.now();
  function record(entry) {
    stream.write(
      `${String(Date.now() - startedAtMs).padStart(7)} ${JSON.stringify(entry)}\n`,
    );
  }
  record.close = () => new Promise((resolve) => stream.end(resolve));
  return record;
}
