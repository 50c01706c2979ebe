/** Selection of endpoints for requests, and of agents to connect to. */

export type { Candidate } from "./candidate.ts";
export { chooseRandom } from "./choice_policy.ts";
export type { ChoiceInput, ChoicePolicy } from "./choice_policy.ts";
export { chooseByPrefixAndLoad } from "./choose_by_prefix_and_load.ts";
export { chooseAgents, MAX_AGENTS_PER_SERVICE } from "./choose_agents.ts";
export type { AgentChoiceOptions } from "./choose_agents.ts";
export { listCandidates } from "./list_candidates.ts";
export type { CandidateOptions } from "./list_candidates.ts";
export { createLoadHints } from "./load_hints.ts";
export type { LoadHint, LoadHints } from "./load_hints.ts";
