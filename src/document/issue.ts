/** A problem at a path of a parsed value, before it has a line and column. */

export type Path = readonly (string | number)[];

export interface Issue {
  readonly path: Path;
  /** Whether the last key of the path is wrong, or its value. */
  readonly at: "key" | "value";
  readonly message: string;
  readonly fix: string;
}

export function formatPath(path: Path): string {
  if (path.length === 0) return "(document)";
  return path.map(formatPathPart).join("").replace(/^\./, "");
}

function formatPathPart(part: string | number): string {
  if (typeof part === "number") return `[${part}]`;
  return /^[\w-]+$/.test(part) ? `.${part}` : `[${formatValue(part)}]`;
}

/** Short form of a value for use in a message. */
export function formatValue(value: unknown): string {
  if (Array.isArray(value)) return "a list";
  if (value === null) return "nothing";
  if (typeof value === "object") return "a mapping";
  const text = JSON.stringify(value) ?? String(value);
  return text.length > 60 ? `${text.slice(0, 57)}...` : text;
}
