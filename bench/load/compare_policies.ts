/** Runs a pattern with all policies over the same seeds. */

import { estimateMean } from "./confidence.ts";
import type { Estimate } from "./confidence.ts";
import { createCurrentPolicy } from "./current_policy.ts";
import type { Deployment } from "./deployments.ts";
import type { CreateEntryPolicy } from "./entry_policy.ts";
import { createFormerPolicy } from "./former_policy.ts";
import type { Pattern } from "./patterns.ts";
import { computeFigures } from "./run_figures.ts";
import type { RunFigures } from "./run_figures.ts";
import { runPattern } from "./run_pattern.ts";

export const POLICIES: Readonly<Record<string, CreateEntryPolicy | undefined>> =
  {
    current: createCurrentPolicy,
    former: createFormerPolicy,
    bound: undefined,
  };

export type FigureName = {
  [Name in keyof RunFigures]: RunFigures[Name] extends number ? Name : never;
}[keyof RunFigures];

export interface PolicyResult {
  readonly policy: string;
  readonly figures: Readonly<Record<FigureName, Estimate>>;
  readonly worthByRoute: Readonly<Record<string, Estimate>>;
  readonly servedByRoute: Readonly<Record<string, Estimate>>;
}

export interface PatternResult {
  readonly deployment: string;
  readonly entries: number;
  readonly pattern: string;
  readonly seeds: number;
  readonly policies: readonly PolicyResult[];
  /** Worth of the current policy less that of the former one, by seed. */
  readonly gain: Estimate;
}

export function comparePolicies(options: {
  readonly deployment: Deployment;
  readonly pattern: Pattern;
  readonly seeds: readonly number[];
}): PatternResult {
  const { deployment, pattern, seeds } = options;
  const runs = Object.entries(POLICIES).map(([policy, createPolicy]) => ({
    policy,
    figures: seeds.map((seed) =>
      computeFigures(runPattern({ deployment, pattern, seed, createPolicy })),
    ),
  }));
  const [current, former] = runs.map(({ figures }) => figures);
  return {
    deployment: deployment.name,
    entries: deployment.entries,
    pattern: pattern.name,
    seeds: seeds.length,
    policies: runs.map(({ policy, figures }) => summarize(policy, figures)),
    gain: estimateMean(
      current!.map(({ worth }, index) => worth - former![index]!.worth),
    ),
  };
}

function summarize(policy: string, runs: readonly RunFigures[]): PolicyResult {
  const { worthByRoute, servedByRoute, ...single } = runs[0]!;
  const estimateRoutes = (
    routes: Readonly<Record<string, number>>,
    read: (figures: RunFigures) => Readonly<Record<string, number>>,
  ) =>
    Object.fromEntries(
      Object.keys(routes).map((route) => [
        route,
        estimateMean(runs.map((run) => read(run)[route] ?? NaN)),
      ]),
    );
  const names = Object.keys(single) as FigureName[];
  return {
    policy,
    figures: Object.fromEntries(
      names.map((name) => [name, estimateMean(runs.map((run) => run[name]))]),
    ) as Record<FigureName, Estimate>,
    worthByRoute: estimateRoutes(worthByRoute, (run) => run.worthByRoute),
    servedByRoute: estimateRoutes(servedByRoute, (run) => run.servedByRoute),
  };
}
