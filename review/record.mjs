/** Writes what was sent, answered and run to `record.txt` beside a case. */

import { appendFileSync, writeFileSync } from "node:fs";

export function createRecord(caseUrl) {
  const file = new URL("record.txt", caseUrl);
  const startedAtMs = performance.now();
  writeFileSync(file, "");
  return (text) => {
    const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(3);
    const line = `${seconds} ${text}`;
    appendFileSync(file, `${line}\n`);
    console.log(line);
  };
}
