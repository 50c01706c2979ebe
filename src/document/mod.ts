/** The environment document: types, parsing, checks, diff and promotion. */

export { toCamelCaseKeys } from "./camel_case.ts";
export type { CamelCaseKeys } from "./camel_case.ts";
export { diffDocuments } from "./diff_documents.ts";
export type { DiffOptions, DocumentDiff } from "./diff_documents.ts";
export type * from "./environment_document.ts";
export { formatFinding } from "./finding.ts";
export type { Finding } from "./finding.ts";
export type { Issue } from "./issue.ts";
export { locateIssues } from "./locate_issues.ts";
export { matchRoute, normalizePath } from "./match_route.ts";
export { parseDocument } from "./parse_document.ts";
export type { ParseDocumentOptions } from "./parse_document.ts";
export { parseYaml } from "./parse_yaml.ts";
export type { ParseYamlOptions } from "./parse_yaml.ts";
export { readText } from "./read_text.ts";
export { checkPromotion } from "./promotion.ts";
export type {
  HostPlacement,
  DataCentreTransfer,
  WeightDrop,
  WeightTransfer,
} from "./weight_transfers.ts";
