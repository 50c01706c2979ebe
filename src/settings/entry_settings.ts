/** Settings of one entry process. */

import type { Result } from "neverthrow";
import * as z from "zod";
import { parseYaml, toCamelCaseKeys } from "../document/mod.ts";
import type { Finding } from "../document/mod.ts";
import { checkAddresses } from "./check_addresses.ts";
import {
  bytesField,
  listenAddressField,
  millisecondsField,
  nameField,
  peerAddressField,
  urlField,
} from "./fields.ts";

export interface EntrySettings {
  /** Name of this host in the host list. */
  readonly host: string;
  readonly dataCentre: string;
  /** "IP:port" that serves callers, health checks, metrics and status. */
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
  readonly maxBodyBytes: number;
  /** Time within which a caller must send the whole body. */
  readonly bodyTimeoutMs: number;
  /** Time within which the response to a request must be complete. */
  readonly requestTimeoutMs: number;
  /**
   * Time between reporting not ready and refusing new requests, so that the load
   * balancer stops sending requests first.
   */
  readonly drainNoticeMs: number;
}

const entrySchema = z.strictObject({
  host: nameField,
  data_centre: nameField,
  http_address: listenAddressField,
  peer_address: listenAddressField,
  listed_peer_address: peerAddressField.optional(),
  platform_url: urlField,
  seed_peers: z.array(peerAddressField).default([]),
  max_body_bytes: bytesField.max(67_108_864).default(4_194_304),
  body_timeout_ms: millisecondsField.default(10_000),
  request_timeout_ms: millisecondsField.default(120_000),
  drain_notice_ms: z.int().min(0).max(600_000).default(3_000),
});

export function parseEntrySettings(
  text: string,
  { file }: { readonly file: string },
): Result<EntrySettings, readonly Finding[]> {
  return parseYaml(text, {
    file,
    schema: entrySchema,
    check: checkAddresses,
  }).map(toCamelCaseKeys);
}
