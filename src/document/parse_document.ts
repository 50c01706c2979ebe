/** Parses an environment document and reports all that is wrong with it. */

import type { Result } from "neverthrow";
import { toCamelCaseKeys } from "./camel_case.ts";
import { checkReferences } from "./cross_checks.ts";
import { documentSchema } from "./document_schema.ts";
import type { WrittenDocument, WrittenService } from "./document_schema.ts";
import type { EnvironmentDocument, Service } from "./environment_document.ts";
import type { Finding } from "./finding.ts";
import { parseYaml } from "./parse_yaml.ts";

export interface ParseDocumentOptions {
  /** Name that findings carry. */
  readonly file: string;
}

export function parseDocument(
  text: string,
  { file }: ParseDocumentOptions,
): Result<EnvironmentDocument, readonly Finding[]> {
  return parseYaml(text, {
    file,
    schema: documentSchema,
    check: checkReferences,
  }).map(toDocument);
}

function toDocument(written: WrittenDocument): EnvironmentDocument {
  return {
    ...toCamelCaseKeys(written),
    services: written.services.map(toService),
  };
}

function toService(written: WrittenService): Service {
  if (written.kind === "language") return toCamelCaseKeys(written);
  return {
    ...toCamelCaseKeys(written),
    runnerSets: written.runner_sets.map(({ from, runners }) => ({
      fromMs: Date.parse(from),
      runners,
    })),
  };
}
