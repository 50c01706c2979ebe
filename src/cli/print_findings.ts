import { formatFinding } from "../document/mod.ts";
import type { Finding } from "../document/mod.ts";
import { formatCount } from "./format.ts";
import type { CommandIo } from "./io.ts";
import { EXIT_FINDINGS } from "./io.ts";

/** Prints the findings and returns the exit code. */
export function printFindings(
  findings: readonly Finding[],
  io: CommandIo,
): number {
  findings.forEach((finding) => io.write(`${formatFinding(finding)}\n`));
  io.write(`${formatCount(findings.length, "finding")}\n`);
  return EXIT_FINDINGS;
}
