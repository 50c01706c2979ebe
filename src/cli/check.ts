import { formatCount } from "./format.ts";
import { EXIT_OK } from "./io.ts";
import type { CommandIo } from "./io.ts";
import { loadDocument } from "./load_document.ts";
import { printFindings } from "./print_findings.ts";

/** Checks each document independently. */
export async function runCheck(
  files: readonly string[],
  io: CommandIo,
): Promise<number> {
  const loaded = await Promise.all(files.map((file) => loadDocument(file, io)));
  loaded.forEach((result) =>
    result.map(({ file, document }) =>
      io.write(
        `${file}: ok, ${formatCount(document.services.length, "service")}, ` +
          `${formatCount(document.clientAccounts.length, "client account")}\n`,
      ),
    ),
  );
  const findings = loaded.flatMap((result) =>
    result.match(
      () => [],
      (found) => found,
    ),
  );
  return findings.length === 0 ? EXIT_OK : printFindings(findings, io);
}
