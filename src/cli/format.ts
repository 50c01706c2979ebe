/** Formats quantities for operators. */

const BYTE_UNITS = ["B", "KiB", "MiB", "GiB", "TiB"] as const;

export function formatBytes(bytes: number): string {
  const power = Math.min(
    BYTE_UNITS.length - 1,
    bytes < 1 ? 0 : Math.floor(Math.log2(bytes) / 10),
  );
  const digits = power === 0 ? 0 : 1;
  return `${(bytes / 1024 ** power).toFixed(digits)} ${BYTE_UNITS[power]}`;
}

export function formatDuration(seconds: number): string {
  if (seconds < 120) return `${Math.ceil(seconds)} s`;
  if (seconds < 7_200) return `${Math.ceil(seconds / 60)} min`;
  return `${(seconds / 3_600).toFixed(1)} h`;
}

/** "1 finding", "2 findings". */
export function formatCount(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? "" : "s"}`;
}
