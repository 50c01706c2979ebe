/**
 * Chooses between the endpoint that probably has the prompt's prefix in its
 * cache and the less loaded of two random ones. A share of the requests goes
 * to cold endpoints, because a roll-out waits until these are warm.
 */

import { rankByHash } from "../hashing/mod.ts";
import type { Candidate } from "./candidate.ts";
import { chooseRandom } from "./choice_policy.ts";
import type { ChoiceInput, ChoicePolicy } from "./choice_policy.ts";

/**
 * Share of the requests that go to cold endpoints while these have free slots.
 * Half leaves the prefix caches to the other requests. Only few requests go to
 * another data centre, but some must, because all entries that are connected
 * to an agent may be in other data centres.
 */
const COLD_REQUEST_SHARES = { near: 0.5, far: 0.1 };

export const chooseByPrefixAndLoad: ChoicePolicy = (candidates, input) => {
  if (candidates.length < 2) return candidates[0];
  const coldCandidate = chooseColdCandidate(candidates, input);
  if (coldCandidate !== undefined) return coldCandidate;
  const lessLoaded = chooseLessLoadedOfTwo(candidates, input);
  if (input.promptPrefix === "") return lessLoaded;
  const names = candidates.map(({ host }) => host);
  const first = rankByHash(input.promptPrefix, names)[0];
  const prefixCandidate = candidates.find(({ host }) => host === first)!;
  return prefixCandidate.cost <= lessLoaded.cost ? prefixCandidate : lessLoaded;
};

function chooseColdCandidate(
  candidates: readonly Candidate[],
  input: ChoiceInput,
): Candidate | undefined {
  const near = candidates.filter(({ warmUp }) => warmUp === "near");
  const far = candidates.filter(({ warmUp }) => warmUp === "far");
  if (near.length + far.length === 0) return undefined;
  const sample = input.random();
  if (near.length > 0 && sample < COLD_REQUEST_SHARES.near) {
    return chooseRandom(near, input);
  }
  return sample < COLD_REQUEST_SHARES.far
    ? chooseRandom(far, input)
    : undefined;
}

function chooseLessLoadedOfTwo(
  candidates: readonly Candidate[],
  input: ChoiceInput,
): Candidate {
  const one = chooseRandom(candidates, input)!;
  const others = candidates.filter((candidate) => candidate !== one);
  const two = chooseRandom(others, input)!;
  return one.cost <= two.cost ? one : two;
}
