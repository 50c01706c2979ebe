/** Dependencies that all requests of one entry share. */

import type { RetryBudget } from "../limits/mod.ts";
import type { Node } from "../node/mod.ts";
import type { ChoicePolicy, LoadHints } from "../routing/mod.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import type { EntrySettings } from "./entry_settings.ts";
import type { MemoryPool } from "./memory_pool.ts";

export interface EntryContext {
  readonly node: Node;
  readonly settings: EntrySettings;
  readonly metrics: EntryMetrics;
  readonly hints: LoadHints;
  readonly retryBudget: RetryBudget;
  readonly quarantine: Quarantine;
  readonly sentEventsPool: MemoryPool;
  readonly bodyPool: MemoryPool;
  readonly chooseCandidate: ChoicePolicy;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Monotonic clock. */
  readonly nowMs: () => number;
}
