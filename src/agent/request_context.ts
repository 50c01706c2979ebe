/** The components of the agent that request handling uses. */

import type { Admission } from "../admission/mod.ts";
import type { EndpointClient } from "../engine/mod.ts";
import type { KeyFloor, KeyTable } from "../idempotency/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Node } from "../node/mod.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { AgentCounters } from "./agent_counters.ts";
import type { Clock } from "./clock.ts";
import type { CrashDetector } from "./crash_detector.ts";
import type { EndpointControl } from "./endpoint_control.ts";
import type { PauseCheck } from "./pause_check.ts";

export interface RequestContext {
  readonly node: Node;
  readonly service: string;
  readonly client: EndpointClient;
  readonly control: EndpointControl;
  readonly admission: Admission;
  readonly keyTable: KeyTable;
  readonly keyFloor: KeyFloor;
  readonly quarantine: Quarantine;
  readonly crashDetector: CrashDetector;
  readonly pauseCheck: PauseCheck;
  readonly clock: Clock;
  readonly counters: AgentCounters;
  readonly logger: Logger;
}
