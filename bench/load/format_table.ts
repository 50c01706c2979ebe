/** Formats the results of a pattern as a table. */

import type { FigureName, PatternResult } from "./compare_policies.ts";
import type { Estimate } from "./confidence.ts";

interface Column {
  readonly title: string;
  readonly figure: FigureName;
  readonly digits: number;
}

const COLUMNS: readonly Column[] = [
  { title: "worth", figure: "worth", digits: 3 },
  { title: "in time", figure: "inTime", digits: 3 },
  { title: "late", figure: "late", digits: 3 },
  { title: "refused", figure: "refused", digits: 3 },
  { title: "failed", figure: "failed", digits: 3 },
  { title: "unserved", figure: "unserved", digits: 4 },
  { title: "p50 ms", figure: "firstEventP50Ms", digits: 0 },
  { title: "p95 ms", figure: "firstEventP95Ms", digits: 0 },
  { title: "plain p95", figure: "plainP95Ms", digits: 0 },
  { title: "again", figure: "refusedAgain", digits: 3 },
  { title: "herd p95", figure: "herdP95", digits: 1 },
  { title: "slow plain", figure: "slowPlainShare", digits: 2 },
  { title: "us", figure: "decisionUs", digits: 0 },
];

export function formatTable(result: PatternResult): string {
  const { deployment, pattern, entries, seeds, gain, policies } = result;
  const routes = Object.keys(policies[0]!.worthByRoute);
  const header = [
    "policy",
    ...COLUMNS.map(({ title }) => title),
    "nines",
    ...routes.map((route) => `${route} worth`),
  ];
  const rows = policies.map(({ policy, figures, worthByRoute }) => [
    policy,
    ...COLUMNS.map(({ figure, digits }) =>
      formatEstimate(figures[figure], digits),
    ),
    formatNines(figures.unserved.mean),
    ...routes.map((route) => formatEstimate(worthByRoute[route]!, 3)),
  ]);
  const widths = header.map((_, column) =>
    Math.max(...[header, ...rows].map((row) => row[column]!.length)),
  );
  const lines = [header, ...rows].map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join("  "),
  );
  return [
    `${deployment}, ${entries} entries, ${pattern}, ${seeds} seeds; ` +
      `worth above former: ${formatEstimate(gain, 4)}`,
    ...lines,
    "",
  ].join("\n");
}

function formatEstimate({ mean, halfWidth }: Estimate, digits: number): string {
  if (!Number.isFinite(mean)) return "-";
  const text = mean.toFixed(digits);
  return halfWidth === undefined
    ? text
    : `${text} ±${halfWidth.toFixed(digits)}`;
}

/** 2 for a share of 0.01. */
function formatNines(share: number): string {
  return share === 0 ? "all" : (-Math.log10(share)).toFixed(1);
}
