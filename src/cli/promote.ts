import { checkPromotion, locateIssues } from "../document/mod.ts";
import { EXIT_OK } from "./io.ts";
import type { CommandIo } from "./io.ts";
import { loadDocumentPair } from "./load_document.ts";
import { printFindings } from "./print_findings.ts";

/**
 * Checks that production differs from the trial only in environment settings.
 */
export async function runPromote(
  files: readonly [trial: string, production: string],
  io: CommandIo,
): Promise<number> {
  const loaded = await loadDocumentPair(files, io);
  if (loaded.isErr()) return printFindings(loaded.error, io);
  const [trial, production] = loaded.value;
  const { file, text } = production;
  const issues = checkPromotion(trial.document, production.document);
  const findings = locateIssues(text, { file, issues });
  if (findings.length > 0) return printFindings(findings, io);
  io.write(
    `${file}: ok, differs from ${trial.file} only in environment settings\n`,
  );
  return EXIT_OK;
}
