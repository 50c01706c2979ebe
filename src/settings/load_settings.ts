import { readFile } from "node:fs/promises";
import type { Result } from "neverthrow";
import { readText } from "../document/mod.ts";
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
  const text = await readText(file, (path) => readFile(path, "utf8"));
  return text.andThen((content) => parse(content, { file }));
}
