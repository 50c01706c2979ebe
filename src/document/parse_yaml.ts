/** Parses YAML, checks it against a schema and reports all findings. */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type * as z from "zod";
import type { Finding } from "./finding.ts";
import type { Issue } from "./issue.ts";
import { checkSchema } from "./schema_issues.ts";
import { readYaml } from "./yaml_source.ts";

export interface ParseYamlOptions<Schema extends z.ZodType> {
  readonly file: string;
  readonly schema: Schema;
  /** Checks that the schema cannot express; runs on any input. */
  readonly check?: (input: unknown) => readonly Issue[];
}

export function parseYaml<Schema extends z.ZodType>(
  text: string,
  { file, schema, check = () => [] }: ParseYamlOptions<Schema>,
): Result<z.output<Schema>, readonly Finding[]> {
  const source = readYaml(text, { file });
  if (source.isErr()) return err(source.error);
  const { value: input, toFindings } = source.value;
  const { value, issues } = checkSchema(schema, input);
  const allIssues = [...issues, ...check(input)];
  if (allIssues.length > 0 || value === undefined) {
    return err(sortFindings(toFindings(allIssues)));
  }
  return ok(value);
}

function sortFindings(findings: readonly Finding[]): readonly Finding[] {
  return [...findings].sort((a, b) => a.line - b.line || a.column - b.column);
}
