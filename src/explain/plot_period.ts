/** Draws an SVG bar chart of the calls of a period, stacked by outcome. */

import type { CallOutcome } from "./report_period.ts";

const WIDTH = 720;
const HEIGHT = 240;
const LEFT_MARGIN = 48;
const BOTTOM_MARGIN = 28;
const TOP_MARGIN = 28;
const MAX_BARS = 60;

/** In stacking order; other outcomes count as failed. */
const SERIES = [
  { name: "answered", color: "#4c8c5a" },
  { name: "refused", color: "#d9a03f" },
  { name: "failed", color: "#b5483e" },
] as const;

type SeriesName = (typeof SERIES)[number]["name"];

export function plotPeriod(calls: readonly CallOutcome[]): string {
  const times = calls.map(({ time }) => Date.parse(time));
  const fromMs = times.reduce((a, b) => Math.min(a, b), Infinity);
  const toMs = times.reduce((a, b) => Math.max(a, b), -Infinity);
  const barMs = chooseBarMs(toMs - fromMs);
  const bars = new Map<number, Record<SeriesName, number>>();
  calls.forEach(({ outcome }, index) => {
    const barIndex = Math.floor((times[index]! - fromMs) / barMs);
    const counts = bars.get(barIndex) ?? { answered: 0, refused: 0, failed: 0 };
    counts[toSeries(outcome)] += 1;
    bars.set(barIndex, counts);
  });
  const highest = [...bars.values()].reduce(
    (max, counts) => Math.max(max, sumCounts(counts)),
    1,
  );
  const barCount = calls.length === 0 ? 1 : Math.max(...bars.keys()) + 1;
  const barWidth = (WIDTH - LEFT_MARGIN) / barCount;
  const shapes = [...bars].flatMap(([barIndex, counts]) =>
    drawBar(counts, {
      x: LEFT_MARGIN + barIndex * barWidth,
      barWidth,
      highest,
    }),
  );
  const labels = [
    drawText([4, TOP_MARGIN + 4], `${highest}`),
    drawText([4, HEIGHT - BOTTOM_MARGIN], "0"),
    drawText([LEFT_MARGIN, HEIGHT - 8], `calls in ${barMs / 1_000} s each`),
    ...SERIES.map(({ name, color }, index) =>
      drawText([LEFT_MARGIN + index * 90, 16], name, color),
    ),
  ];
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    ...shapes,
    ...labels,
    "</svg>",
    "",
  ].join("\n");
}

/** Whole seconds, so that the bars of several plots can be compared. */
function chooseBarMs(periodMs: number): number {
  return Math.max(1, Math.ceil(periodMs / MAX_BARS / 1_000)) * 1_000 || 1_000;
}

function toSeries(outcome: string): SeriesName {
  return outcome === "answered" || outcome === "refused" ? outcome : "failed";
}

function sumCounts(counts: Readonly<Record<SeriesName, number>>): number {
  return SERIES.reduce((total, { name }) => total + counts[name], 0);
}

function drawBar(
  counts: Readonly<Record<SeriesName, number>>,
  place: {
    readonly x: number;
    readonly barWidth: number;
    readonly highest: number;
  },
): readonly string[] {
  const scale = (HEIGHT - BOTTOM_MARGIN - TOP_MARGIN) / place.highest;
  let y = HEIGHT - BOTTOM_MARGIN;
  return SERIES.filter(({ name }) => counts[name] > 0).map(
    ({ name, color }) => {
      const height = counts[name] * scale;
      y -= height;
      return (
        `<rect x="${place.x.toFixed(1)}" y="${y.toFixed(1)}" ` +
        `width="${(place.barWidth * 0.9).toFixed(1)}" ` +
        `height="${height.toFixed(1)}" fill="${color}"/>`
      );
    },
  );
}

function drawText(
  [x, y]: readonly [number, number],
  text: string,
  color = "#333",
): string {
  return `<text x="${x}" y="${y}" font-family="sans-serif" font-size="12" fill="${color}">${text}</text>`;
}
