/**
 * What one process knows of the fleet: the accepted configuration and the host
 * list, both possibly old.
 */

import type { EnvironmentDocument, Finding } from "../document/mod.ts";
import type { HostList } from "./host.ts";

export interface AcceptedConfig {
  /** The platform's version number; only ever rises in one process. */
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
  /** Wall-clock time at which the version was last known to be current. */
  configConfirmedAtMs(): number;
  /** The newest published document, if it is newer than the one in force. */
  rejectedConfig?(): RejectedConfig | undefined;
  hosts(): HostList;
  /** Runs after each change of the configuration or the host list. */
  onChange(handler: () => void): void;
  /**
   * True after a pause of this process until versions were compared again; no
   * new work may be taken meanwhile.
   */
  isWaking(): boolean;
}
