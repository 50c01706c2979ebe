import { readFile } from "node:fs/promises";
import { err } from "neverthrow";
import type { Result } from "neverthrow";
import type { Finding } from "../document/mod.ts";

export type ParseSettings<Settings> = (
  text: string,
  options: { readonly file: string },
) => Result<Settings, readonly Finding[]>;

/** Reads and parses a settings file; an unreadable file is a finding too. */
export async function loadSettings<Settings>(
  file: string,
  parse: ParseSettings<Settings>,
): Promise<Result<Settings, readonly Finding[]>> {
  try {
    return parse(await readFile(file, "utf8"), { file });
  } catch (error) {
    return err([
      {
        file,
        line: 1,
        column: 1,
        path: "(document)",
        message: `Cannot read the file: ${(error as Error).message}`,
        fix: "Check the path and the permissions",
      },
    ]);
  }
}
