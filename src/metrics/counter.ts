/**
 * A counter with labels. Values never decrease within one run of the process.
 */

export type Labels = Readonly<Record<string, string>>;

export interface Sample {
  readonly labels: Labels;
  readonly value: number;
}

export interface Counter {
  readonly name: string;
  /** Adds `amount` (1 by default) to the series with these labels. */
  increment(labels?: Labels, amount?: number): void;
  /** Current value of one series; 0 if it was never incremented. */
  read(labels?: Labels): number;
  samples(): readonly Sample[];
}

/** Order-independent key of a label set. */
export function formatLabels(labels: Labels): string {
  return Object.keys(labels)
    .sort()
    .map((name) => `${name}="${escapeValue(labels[name] ?? "")}"`)
    .join(",");
}

export function createCounter(name: string): Counter {
  const series = new Map<string, { labels: Labels; value: number }>();
  return {
    name,
    increment(labels = {}, amount = 1) {
      const key = formatLabels(labels);
      const entry = series.get(key);
      if (entry === undefined) series.set(key, { labels, value: amount });
      else entry.value += amount;
    },
    read(labels = {}) {
      return series.get(formatLabels(labels))?.value ?? 0;
    },
    samples() {
      return [...series.values()].map((entry) => ({ ...entry }));
    },
  };
}

function escapeValue(value: string): string {
  return value
    .replaceAll("\\", "\\\\")
    .replaceAll('"', '\\"')
    .replaceAll("\n", "\\n");
}
