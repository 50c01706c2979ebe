/**
 * Settings of a gateway: an entry that sends requests directly to endpoints.
 */

import type { Result } from "neverthrow";
import * as z from "zod";
import { parseYaml, toCamelCaseKeys } from "../document/mod.ts";
import type { Finding } from "../document/mod.ts";
import type { GatewaySettings } from "../gateway/mod.ts";
import { listenAddressField, nameField, peerAddressField } from "./fields.ts";

export interface GatewayProgramSettings extends GatewaySettings {
  /** "IP:port" of the platform's metadata store. */
  readonly storeAddress: string;
  /** "IP:port" that serves metrics. */
  readonly metricsAddress: string;
}

const boundsSchema = z.strictObject({
  revoke_ms: z.number().positive(),
  is_revocation_strict: z.boolean(),
  budget_ratio: z.number().nonnegative(),
  budget_window_s: z.number().positive(),
  budget_extra: z.number().nonnegative(),
  cold_overage: z.number().positive(),
  cold_slack: z.number().nonnegative(),
  version_ms: z.number().nonnegative(),
  grace_s: z.number().positive(),
});

const schema = z.strictObject({
  host: nameField,
  data_centre: nameField,
  caller_address: listenAddressField,
  ready_address: listenAddressField,
  peer_address: listenAddressField,
  metrics_address: listenAddressField,
  store_address: peerAddressField,
  seeds: z.array(peerAddressField),
  /** Region of each data centre. */
  regions: z.record(z.string(), z.string()),
  bounds: boundsSchema,
});

export function parseGatewaySettings(
  text: string,
  { file }: { readonly file: string },
): Result<GatewayProgramSettings, readonly Finding[]> {
  return parseYaml(text, { file, schema }).map((parsed) => ({
    ...toCamelCaseKeys(parsed),
    // The keys are names of data centres, which must not be converted.
    regions: parsed.regions,
  }));
}
