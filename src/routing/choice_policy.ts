/** Policies by which an entry chooses an endpoint among the candidates. */

import type { Candidate } from "./candidate.ts";

export interface ChoiceInput {
  /** First bytes of the prompt; empty when there is none. */
  readonly promptPrefix: string;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Returns undefined only if there are no candidates. */
export type ChoicePolicy = (
  candidates: readonly Candidate[],
  input: ChoiceInput,
) => Candidate | undefined;

/** Baseline policy: any candidate, with equal probability. */
export const chooseRandom: ChoicePolicy = (candidates, { random }) =>
  candidates[Math.floor(random() * candidates.length)];
