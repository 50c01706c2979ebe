/** Types of the fakes that agent tests share. */

import type { Logger } from "../../logging/mod.ts";
import type { AcceptedConfig, HostList } from "../../membership/mod.ts";
import type { Node, NodeIdentity } from "../../node/mod.ts";
import type { AgentProcessSettings } from "../agent.ts";

export type AgentSettingsLike = AgentProcessSettings;

export interface FakeNodeOptions {
  readonly identity: NodeIdentity;
  readonly config: AcceptedConfig | undefined;
  readonly hosts?: HostList;
  readonly confirmedAtMs: number;
  readonly logger: Logger;
}

export interface FakeNode {
  readonly node: Node;
  /** Versions asked for with `fetchConfig`. */
  readonly fetched: readonly number[];
  /** Floors given to `raiseConfigFloor`. */
  readonly floors: readonly number[];
  setConfig(config: AcceptedConfig | undefined): void;
  setHosts(hosts: HostList): void;
  setWaking(isWaking: boolean): void;
  setConfirmedAtMs(atMs: number): void;
  onFetch(handler: (version: number) => void): void;
}
