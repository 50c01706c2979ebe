/**
 * Chooses which entries use which endpoints, so that the cost of an entry or
 * agent does not grow with the other role's number. An endpoint is used by a
 * bounded number of entries, most of them in its own data centre; the others,
 * in several data centres, use it while their own endpoints are full, gone or
 * evacuated. Each process computes the choice from its own list of members by
 * rendezvous hashing, so that one more or one less entry changes few pairs and
 * no agreement is needed.
 */

import { computeSeed, scorePair } from "../hashing/mod.ts";
import type { Host } from "./host.ts";

export type PartnerHost = Pick<Host, "name" | "dataCentre">;

export interface PartnerLimits {
  /** Entries in the data centre of the endpoint. */
  readonly local: number;
  /** Entries in other data centres, as long as there are enough local ones. */
  readonly remote: number;
}

/**
 * Local partners share an endpoint's load reports and compete for its slots.
 * With more of them, more entries choose the same endpoint between two reports;
 * with fewer, the endpoints of a data centre are used unevenly.
 */
export const DEFAULT_PARTNER_LIMITS: PartnerLimits = { local: 8, remote: 4 };

/**
 * Returns the entries that use the endpoint of this agent: local ones first,
 * each group in order of preference. Missing local entries are replaced by
 * remote ones, so that an endpoint is reachable while its data centre has few
 * or no entries.
 */
export function choosePartnerEntries<T extends PartnerHost>(
  agent: PartnerHost,
  entries: readonly T[],
  { local, remote }: PartnerLimits = DEFAULT_PARTNER_LIMITS,
): readonly T[] {
  const seed = computeSeed(agent.name);
  const localEntries = entries.filter(
    ({ dataCentre }) => dataCentre === agent.dataCentre,
  );
  const chosen = selectHighest(localEntries, local, ({ name }) =>
    scorePair(seed, computeSeed(name)),
  );
  // Half of the missing local ones: each remote partner costs more than a
  // local one, and the reports to it cross a link between data centres.
  const missing = Math.ceil((local - chosen.length) / 2);
  return [...chosen, ...selectRemote(agent, entries, remote + missing)];
}

/** Takes from all other data centres in turn, so that no loss of one takes all. */
function selectRemote<T extends PartnerHost>(
  agent: PartnerHost,
  entries: readonly T[],
  count: number,
): readonly T[] {
  const seed = computeSeed(agent.name);
  const byDataCentre = new Map<string, T[]>();
  entries
    .filter(({ dataCentre }) => dataCentre !== agent.dataCentre)
    .forEach((entry) => {
      const group = byDataCentre.get(entry.dataCentre);
      if (group === undefined) byDataCentre.set(entry.dataCentre, [entry]);
      else group.push(entry);
    });
  const groups = selectHighest(
    [...byDataCentre],
    byDataCentre.size,
    ([dataCentre]) => scorePair(seed, computeSeed(dataCentre)),
  ).map(([, group]) =>
    selectHighest(group, count, ({ name }) =>
      scorePair(seed, computeSeed(name)),
    ),
  );
  const rounds = Math.max(0, ...groups.map((group) => group.length));
  return Array.from({ length: rounds }, (_, round) =>
    groups.flatMap((group) => group.slice(round, round + 1)),
  )
    .flat()
    .slice(0, count);
}

/**
 * The items with the highest scores, in descending order. Sorting all of them
 * would take most of the time of a choice among 400 entries.
 */
function selectHighest<T>(
  items: readonly T[],
  count: number,
  score: (item: T) => number,
): readonly T[] {
  const best: { readonly item: T; readonly score: number }[] = [];
  items.forEach((item) => {
    const scored = { item, score: score(item) };
    if (best.length >= count && scored.score <= best.at(-1)!.score) return;
    const position = best.findIndex((other) => other.score < scored.score);
    best.splice(position < 0 ? best.length : position, 0, scored);
    best.splice(count);
  });
  return best.map(({ item }) => item);
}
