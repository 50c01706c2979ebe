import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Finding } from "./finding.ts";

/** Reads a file; a file that cannot be read is a finding. */
export async function readText(
  file: string,
  readFile: (file: string) => Promise<string>,
): Promise<Result<string, readonly Finding[]>> {
  try {
    return ok(await readFile(file));
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
