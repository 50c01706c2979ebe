/** One problem in a document or settings file, with its location and fix. */

export interface Finding {
  readonly file: string;
  /** 1-based. */
  readonly line: number;
  /** 1-based. */
  readonly column: number;
  /** Path of keys and indexes, such as "services[0].admission". */
  readonly path: string;
  readonly message: string;
  readonly fix: string;
}

export function formatFinding(finding: Finding): string {
  const { file, line, column, path, message, fix } = finding;
  return `${file}:${line}:${column}: ${path}: ${message}. Fix: ${fix}`;
}
