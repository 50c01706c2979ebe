/** Settings of one agent process. */

import type { Result } from "neverthrow";
import * as z from "zod";
import { parseYaml, toCamelCaseKeys } from "../document/mod.ts";
import type { Finding } from "../document/mod.ts";
import { checkAddresses } from "./check_addresses.ts";
import {
  bytesField,
  listenAddressField,
  nameField,
  peerAddressField,
  rateField,
  urlField,
} from "./fields.ts";

export interface AgentSettings {
  /** Name of this host in the host list. */
  readonly host: string;
  readonly dataCentre: string;
  /** Service in the environment document that the endpoint belongs to. */
  readonly service: string;
  /**
   * "IP:port" that serves the engine's weights, health checks, metrics and
   * status.
   */
  readonly httpAddress: string;
  /** "IP:port" on which this process listens for its peers. */
  readonly peerAddress: string;
  /**
   * "IP:port" of this process in the host list, if that differs from
   * `peerAddress`, as behind address translation.
   */
  readonly listedPeerAddress?: string | undefined;
  readonly platformUrl: string;
  /** "IP:port" of peers to ask while the platform does not respond. */
  readonly seedPeers: readonly string[];
  /** URL of the engine or plain service that this agent controls. */
  readonly endpointUrl: string;
  readonly weightStoreUrl: string;
  /** Memory for weight chunks, outside the JavaScript heap. */
  readonly weightsMemoryBytes: number;
  /** `store` downloads every chunk from the weight store. */
  readonly weightsPolicy: "swarm" | "store";
  /** Applies where lower than the host rate of the environment document. */
  readonly hostUpMbitPerS?: number | undefined;
  readonly hostDownMbitPerS?: number | undefined;
  /** Longest time that a shutdown waits for requests in progress. */
  readonly drainTimeoutMs: number;
}

const agentSchema = z.strictObject({
  host: nameField,
  data_centre: nameField,
  service: nameField,
  http_address: listenAddressField,
  peer_address: listenAddressField,
  listed_peer_address: peerAddressField.optional(),
  platform_url: urlField,
  seed_peers: z.array(peerAddressField).default([]),
  endpoint_url: urlField,
  weight_store_url: urlField,
  weights_memory_bytes: bytesField.default(1_073_741_824),
  weights_policy: z.enum(["swarm", "store"]).default("swarm"),
  host_up_mbit_per_s: rateField.optional(),
  host_down_mbit_per_s: rateField.optional(),
  // Longer than the entry's request timeout, so that a shutdown cuts off no
  // request.
  drain_timeout_ms: z.int().gt(0).max(86_400_000).default(150_000),
});

export function parseAgentSettings(
  text: string,
  { file }: { readonly file: string },
): Result<AgentSettings, readonly Finding[]> {
  return parseYaml(text, {
    file,
    schema: agentSchema,
    check: checkAddresses,
  }).map(toCamelCaseKeys);
}
