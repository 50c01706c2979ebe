/**
 * Finds the prompt parts that explain a number of crashes. The part that is in
 * the broken requests of most crashes comes first, and the crashes that it
 * explains no longer count against other parts, which only ran beside it.
 */

/**
 * Endpoints that end this close together count as one crash: a data centre
 * without power ends many at once, and a popular part runs at several of them.
 * Entries learn of them at different times.
 */
const COMMON_CAUSE_MS = 100;
/**
 * The crashes must have broken off different requests: one request that
 * crashes endpoints does not tell which of its contents does.
 */
const MIN_REQUESTS = 2;

export interface CrashIncident {
  readonly atMs: number;
  /** Keys of the broken requests that have the part. */
  readonly requestsByPart: ReadonlyMap<string, ReadonlySet<string>>;
}

export interface PartEvidence {
  readonly part: string;
  readonly crashes: number;
  readonly requests: number;
}

export interface CrashCause extends PartEvidence {
  /** Other parts that explain the same crashes as well. */
  readonly rivals: readonly string[];
}

export interface CauseOptions {
  /** Crashes before this time do not count; -Infinity if none survived. */
  readonly lastSurvivedAtMs: (part: string) => number;
  /** Number of crashes from which the part counts as their cause. */
  readonly minCrashes: (part: string) => number;
  /** Causes that are already known. */
  readonly known: readonly string[];
}

export function findCrashCauses(
  incidents: readonly CrashIncident[],
  options: CauseOptions,
): readonly CrashCause[] {
  const { lastSurvivedAtMs, minCrashes, known } = options;
  const unexplained = incidents
    .filter(({ requestsByPart }) => !known.some((p) => requestsByPart.has(p)))
    .sort((a, b) => a.atMs - b.atMs);
  const candidates = [...groupByPart(unexplained)]
    .map(([part, found]) => countEvidence(part, found, lastSurvivedAtMs(part)))
    .filter(
      ({ part, crashes, requests }) =>
        crashes >= minCrashes(part) && requests >= MIN_REQUESTS,
    );
  if (candidates.length === 0) return [];
  const mostCrashes = Math.max(...candidates.map(({ crashes }) => crashes));
  const likely = candidates.filter(({ crashes }) => crashes === mostCrashes);
  const oldestSurvivalMs = Math.min(
    ...likely.map(({ part }) => lastSurvivedAtMs(part)),
  );
  const causes = likely.filter(
    ({ part }) => lastSurvivedAtMs(part) === oldestSurvivalMs,
  );
  const explained = [...known, ...causes.map(({ part }) => part)];
  return [
    ...causes.map((cause) => ({
      ...cause,
      rivals: causes.filter((c) => c !== cause).map(({ part }) => part),
    })),
    ...findCrashCauses(unexplained, { ...options, known: explained }),
  ];
}

/** Keeps the order of the incidents. */
function groupByPart(
  incidents: readonly CrashIncident[],
): ReadonlyMap<string, readonly CrashIncident[]> {
  const groups = new Map<string, CrashIncident[]>();
  incidents.forEach((incident) =>
    [...incident.requestsByPart.keys()].forEach((part) => {
      const group = groups.get(part);
      if (group === undefined) groups.set(part, [incident]);
      else group.push(incident);
    }),
  );
  return groups;
}

/** `incidents` have the part and are sorted by time. */
function countEvidence(
  part: string,
  incidents: readonly CrashIncident[],
  sinceMs: number,
): PartEvidence {
  const found = incidents.filter(({ atMs }) => atMs > sinceMs);
  const { crashes } = found.reduce(
    (counted, { atMs }) =>
      atMs - counted.lastMs > COMMON_CAUSE_MS
        ? { crashes: counted.crashes + 1, lastMs: atMs }
        : counted,
    { crashes: 0, lastMs: -Infinity },
  );
  const requests = new Set(
    found.flatMap(({ requestsByPart }) => [...requestsByPart.get(part)!]),
  );
  return { part, crashes, requests: requests.size };
}
