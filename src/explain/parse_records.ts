/**
 * Parses log lines of any number of processes. Text before the first brace of a
 * line, such as a collector's time stamp, is ignored.
 */

export interface LogRecord {
  /** Program that wrote the line. */
  readonly name: string;
  readonly hostname: string;
  /** ISO 8601, by the clock of the host that wrote it. */
  readonly time: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface ParsedRecords {
  readonly records: readonly LogRecord[];
  readonly unreadableLines: number;
}

/** Added to every line by the logging library, and not shown to operators. */
const COMMON_FIELDS = new Set(["name", "hostname", "host", "pid", "level"]);
const HIDDEN_FIELDS = new Set([...COMMON_FIELDS, "msg", "time", "v"]);

export function parseRecords(text: string): ParsedRecords {
  const lines = text.split("\n").filter((line) => line.trim() !== "");
  const records = lines.flatMap((line) => parseLine(line) ?? []);
  return { records, unreadableLines: lines.length - records.length };
}

/** Processes write separate logs, so records may come in any order. */
export function sortByTime(
  records: readonly LogRecord[],
): readonly LogRecord[] {
  return records.toSorted((a, b) => Date.parse(a.time) - Date.parse(b.time));
}

function parseLine(line: string): LogRecord | undefined {
  const braceIndex = line.indexOf("{");
  if (braceIndex < 0) return undefined;
  try {
    const value = JSON.parse(line.slice(braceIndex)) as Record<string, unknown>;
    const { name, hostname, time, msg } = value;
    if (typeof time !== "string" || typeof msg !== "string") return undefined;
    return {
      name: String(name),
      hostname: String(hostname),
      time,
      message: msg,
      fields: Object.fromEntries(
        Object.entries(value).filter(([key]) => !HIDDEN_FIELDS.has(key)),
      ),
    };
  } catch {
    return undefined;
  }
}
