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
const WARM_UP_SHARES = { near: 0.5, far: 0.1 };

export const chooseByPrefixAndLoad: ChoicePolicy = (candidates, input) => {
  if (candidates.length < 2) return candidates[0];
  const cold = chooseToWarmUp(candidates, input);
  if (cold !== undefined) return cold;
  const light = chooseLighterOfTwo(candidates, input);
  if (input.promptPrefix === "") return light;
  const names = candidates.map(({ host }) => host);
  const first = rankByHash(input.promptPrefix, names)[0];
  const affine = candidates.find(({ host }) => host === first)!;
  return affine.cost <= light.cost ? affine : light;
};

function chooseToWarmUp(
  candidates: readonly Candidate[],
  input: ChoiceInput,
): Candidate | undefined {
  const near = candidates.filter(({ warmUp }) => warmUp === "near");
  const far = candidates.filter(({ warmUp }) => warmUp === "far");
  if (near.length + far.length === 0) return undefined;
  const drawn = input.random();
  if (near.length > 0 && drawn < WARM_UP_SHARES.near) {
    return chooseRandom(near, input);
  }
  return drawn < WARM_UP_SHARES.far ? chooseRandom(far, input) : undefined;
}

function chooseLighterOfTwo(
  candidates: readonly Candidate[],
  input: ChoiceInput,
): Candidate {
  const one = chooseRandom(candidates, input)!;
  const others = candidates.filter((candidate) => candidate !== one);
  const two = chooseRandom(others, input)!;
  return one.cost <= two.cost ? one : two;
}
