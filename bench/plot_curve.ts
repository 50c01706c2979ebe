/**
 * Plots the result of `measure_curve.ts` as an SVG: the time of the last
 * replica as a multiple of the lower bound, over the number of replicas.
 * Triangles mark the targets.
 */

import { readFileSync, writeFileSync } from "node:fs";
import { Command } from "commander";
import { parse, View } from "vega";
import type { Spec } from "vega";

interface RunTimes {
  readonly serving_ms: number | null;
  readonly whole_ms: number | null;
}

interface Curve {
  readonly lower_bound_ms: number;
  readonly targets: readonly { replicas: number; ratio: number }[];
  readonly points: readonly {
    readonly replicas: number;
    readonly swarm: RunTimes;
    readonly baseline: RunTimes | null;
  }[];
}

interface PlotRow {
  readonly replicas: number;
  readonly ratio: number;
  readonly series: string;
}

const options = new Command()
  .requiredOption("--in <path>", "result of measure:curve")
  .requiredOption("--out <path>", "file for the SVG")
  .parse()
  .opts<{ in: string; out: string }>();

function createRows({ points, lower_bound_ms: boundMs }: Curve) {
  function toRow(series: string, replicas: number, ms: number | null) {
    return ms === null ? [] : [{ series, replicas, ratio: ms / boundMs }];
  }
  return points.flatMap(({ replicas, swarm, baseline }): readonly PlotRow[] => [
    ...toRow("Swarm: whole", replicas, swarm.whole_ms),
    ...toRow("Swarm: serves", replicas, swarm.serving_ms),
    ...toRow("From the store: serves", replicas, baseline?.serving_ms ?? null),
    { series: "Lower bound", replicas, ratio: 1 },
  ]);
}

function createSpec(curve: Curve): Spec {
  const sizes = curve.points.map(({ replicas }) => replicas);
  const position = {
    x: { scale: "x", field: "replicas" },
    y: { scale: "y", field: "ratio" },
  };
  const color = { scale: "color", field: "series" };
  return {
    width: 480,
    height: 300,
    padding: 8,
    background: "white",
    data: [
      { name: "rows", values: createRows(curve) },
      { name: "targets", values: [...curve.targets] },
    ],
    scales: [
      { name: "x", type: "log", base: 2, range: "width", domain: sizes },
      {
        name: "y",
        type: "log",
        base: 2,
        range: "height",
        domain: { data: "rows", field: "ratio" },
        nice: true,
      },
      {
        name: "color",
        type: "ordinal",
        range: "category",
        domain: { data: "rows", field: "series" },
      },
    ],
    axes: [
      { scale: "x", orient: "bottom", title: "Replicas", values: sizes },
      {
        scale: "y",
        orient: "left",
        title: "Time to the last replica / lower bound",
        grid: true,
        tickCount: 6,
        format: ".2~f",
      },
    ],
    legends: [{ fill: "color" }],
    marks: [
      {
        type: "group",
        from: { facet: { name: "line", data: "rows", groupby: "series" } },
        marks: [
          {
            type: "line",
            from: { data: "line" },
            encode: { enter: { ...position, stroke: color } },
          },
          {
            type: "symbol",
            from: { data: "line" },
            encode: { enter: { ...position, fill: color } },
          },
        ],
      },
      {
        type: "symbol",
        from: { data: "targets" },
        encode: {
          enter: {
            ...position,
            shape: { value: "triangle-down" },
            fill: { value: "black" },
          },
        },
      },
    ],
  };
}

const curve = JSON.parse(readFileSync(options.in, "utf8")) as Curve;
const view = new View(parse(createSpec(curve)), { renderer: "none" });
writeFileSync(options.out, `${await view.toSVG()}\n`);
