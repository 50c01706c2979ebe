/**
 * Reads log lines of any number of processes. What stands before the first
 * brace of a line, such as a collector's time stamp, is passed over.
 */

export interface LogRecord {
  /** Program that wrote the line. */
  readonly name: string;
  readonly hostname: string;
  /** ISO 8601, of the writing host's clock. */
  readonly time: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface ReadRecords {
  readonly records: readonly LogRecord[];
  readonly unreadableLines: number;
}

/** Present in each line of the library, and of no use to a reader. */
const COMMON_FIELDS = new Set(["name", "hostname", "host", "pid", "level"]);
const HIDDEN_FIELDS = new Set([...COMMON_FIELDS, "msg", "time", "v"]);

export function readRecords(text: string): ReadRecords {
  const lines = text.split("\n").filter((line) => line.trim() !== "");
  const records = lines.flatMap((line) => parseLine(line) ?? []);
  return { records, unreadableLines: lines.length - records.length };
}

function parseLine(line: string): LogRecord | undefined {
  const at = line.indexOf("{");
  if (at < 0) return undefined;
  try {
    const value = JSON.parse(line.slice(at)) as Record<string, unknown>;
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
