/**
 * Compares the endpoint that probably holds the prompt's prefix in its cache
 * with the less loaded of two random ones.
 */

import { rankByHash } from "../hashing/mod.ts";
import type { Candidate } from "./candidate.ts";
import { chooseRandom } from "./choice_policy.ts";
import type { ChoiceInput, ChoicePolicy } from "./choice_policy.ts";

export const chooseByPrefixAndLoad: ChoicePolicy = (candidates, input) => {
  if (candidates.length < 2) return candidates[0];
  const light = chooseLighterOfTwo(candidates, input);
  if (input.promptPrefix === "") return light;
  const names = candidates.map(({ host }) => host);
  const first = rankByHash(input.promptPrefix, names)[0];
  const affine = candidates.find(({ host }) => host === first)!;
  return affine.cost <= light.cost ? affine : light;
};

function chooseLighterOfTwo(
  candidates: readonly Candidate[],
  input: ChoiceInput,
): Candidate {
  const one = chooseRandom(candidates, input)!;
  const others = candidates.filter((candidate) => candidate !== one);
  const two = chooseRandom(others, input)!;
  return one.cost <= two.cost ? one : two;
}
