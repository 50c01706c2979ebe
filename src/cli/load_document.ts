import type { Result } from "neverthrow";
import { parseDocument, readText } from "../document/mod.ts";
import type { EnvironmentDocument, Finding } from "../document/mod.ts";
import type { CommandIo } from "./io.ts";

export interface LoadedDocument {
  readonly file: string;
  readonly text: string;
  readonly document: EnvironmentDocument;
}

export async function loadDocument(
  file: string,
  io: CommandIo,
): Promise<Result<LoadedDocument, readonly Finding[]>> {
  const text = await readText(file, io.readFile);
  return text.andThen((content) =>
    parseDocument(content, { file }).map((document) => ({
      file,
      text: content,
      document,
    })),
  );
}

/** Loads two documents; on failure returns the findings of both. */
export async function loadDocumentPair(
  files: readonly [string, string],
  io: CommandIo,
): Promise<
  Result<readonly [LoadedDocument, LoadedDocument], readonly Finding[]>
> {
  const [first, second] = await Promise.all([
    loadDocument(files[0], io),
    loadDocument(files[1], io),
  ]);
  return first
    .mapErr((findings) => [
      ...findings,
      ...second.match(
        () => [],
        (otherFindings) => otherFindings,
      ),
    ])
    .andThen((a) => second.map((b) => [a, b] as const));
}
