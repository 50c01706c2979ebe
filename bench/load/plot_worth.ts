/** Plots the worth of each policy by pattern, with confidence intervals. */

import { parse, View } from "vega";
import type { Spec } from "vega";
import type { PatternResult } from "./compare_policies.ts";

const POINT_STEP = 22;

export async function plotWorth(
  results: readonly PatternResult[],
): Promise<string> {
  const view = new View(parse(createSpec(results)), { renderer: "none" });
  return view.toSVG();
}

function createRows(results: readonly PatternResult[]) {
  return results.flatMap(({ deployment, pattern, entries, policies }) =>
    policies.map(({ policy, figures }) => {
      const { mean, halfWidth = 0 } = figures.worth;
      return {
        pattern: `${deployment}, ${entries} entries: ${pattern}`,
        policy,
        mean,
        low: mean - halfWidth,
        high: mean + halfWidth,
      };
    }),
  );
}

function createSpec(results: readonly PatternResult[]): Spec {
  const y = { scale: "y", field: "pattern", band: 0.5 };
  const color = { scale: "color", field: "policy" };
  return {
    width: 480,
    height: { signal: "bandspace(domain('y').length) * " + POINT_STEP },
    padding: 8,
    background: "white",
    data: [{ name: "rows", values: createRows(results) }],
    scales: [
      {
        name: "x",
        type: "linear",
        range: "width",
        domain: { data: "rows", fields: ["low", "high"] },
        zero: false,
        nice: true,
      },
      {
        name: "y",
        type: "band",
        range: { step: POINT_STEP },
        domain: { data: "rows", field: "pattern" },
      },
      {
        name: "color",
        type: "ordinal",
        range: "category",
        domain: { data: "rows", field: "policy" },
      },
    ],
    axes: [
      {
        scale: "x",
        orient: "bottom",
        title: "Worth earned / worth owed",
        grid: true,
      },
      { scale: "y", orient: "left" },
    ],
    legends: [{ fill: "color", symbolType: "circle" }],
    marks: [
      {
        type: "rule",
        from: { data: "rows" },
        encode: {
          enter: {
            x: { scale: "x", field: "low" },
            x2: { scale: "x", field: "high" },
            y,
            stroke: color,
            strokeWidth: { value: 2 },
          },
        },
      },
      {
        type: "symbol",
        from: { data: "rows" },
        encode: {
          enter: { x: { scale: "x", field: "mean" }, y, fill: color },
        },
      },
    ],
  };
}
