/**
 * One process's view of the fleet: the accepted configuration and the host
 * list, both possibly stale.
 */

import type { EnvironmentDocument, Finding } from "../document/mod.ts";
import type { HostList } from "./host.ts";

export interface AcceptedConfig {
  /** The platform's version number; never decreases within one process. */
  readonly version: number;
  readonly document: EnvironmentDocument;
  readonly publishedAtMs: number;
}

/** A published document that is not in force because it is invalid. */
export interface RejectedConfig {
  readonly version: number;
  readonly findings: readonly Finding[];
}

export interface FleetView {
  /** Undefined until a first configuration has been accepted. */
  config(): AcceptedConfig | undefined;
  /** Latest wall-clock time at which the version was known to be current. */
  configConfirmedAtMs(): number;
  /** The newest published document, if it is newer than the one in force. */
  rejectedConfig?(): RejectedConfig | undefined;
  hosts(): HostList;
  /** Calls `handler` after each change of the configuration or host list. */
  onChange(handler: () => void): void;
  /**
   * True after a pause of this process until its versions have been compared
   * again. No new work may be accepted meanwhile.
   */
  isRecoveringFromPause(): boolean;
}
