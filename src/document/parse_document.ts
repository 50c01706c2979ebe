/** Parses an environment document and reports all of its problems. */

import type { Result } from "neverthrow";
import { toCamelCaseKeys } from "./camel_case.ts";
import { checkConsistency } from "./cross_checks.ts";
import { documentSchema } from "./document_schema.ts";
import type { RawDocument, RawService } from "./document_schema.ts";
import type { EnvironmentDocument, Service } from "./environment_document.ts";
import type { Finding } from "./finding.ts";
import { parseYaml } from "./parse_yaml.ts";

export interface ParseDocumentOptions {
  /** File name in the findings. */
  readonly file: string;
}

export function parseDocument(
  text: string,
  { file }: ParseDocumentOptions,
): Result<EnvironmentDocument, readonly Finding[]> {
  return parseYaml(text, {
    file,
    schema: documentSchema,
    check: checkConsistency,
  }).map(toDocument);
}

function toDocument(raw: RawDocument): EnvironmentDocument {
  return {
    ...toCamelCaseKeys(raw),
    services: raw.services.map(toService),
  };
}

function toService(raw: RawService): Service {
  if (raw.kind === "language") return toCamelCaseKeys(raw);
  return {
    ...toCamelCaseKeys(raw),
    runnerSets: raw.runner_sets.map(({ from, runners }) => ({
      fromMs: Date.parse(from),
      runners,
    })),
  };
}
