/**
 * Settings of a sidecar: an agent whose endpoint receives requests directly.
 */

import type { Result } from "neverthrow";
import * as z from "zod";
import type { SidecarSettings } from "../sidecar/mod.ts";
import { parseYaml, toCamelCaseKeys } from "../document/mod.ts";
import type { Finding } from "../document/mod.ts";
import {
  listenAddressField,
  nameField,
  peerAddressField,
  rateField,
} from "./fields.ts";

export interface SidecarProgramSettings extends SidecarSettings {
  readonly metricsAddress: string;
}

/**
 * The platform does not specify the rate of the links between regions; users
 * report about 15 Mbit/s in each direction for all traffic.
 */
const DEFAULT_REGION_MBIT_PER_S = 15;

const schema = z.strictObject({
  host: nameField,
  data_centre: nameField,
  service: nameField,
  peer_address: listenAddressField,
  metrics_address: listenAddressField,
  endpoint_address: peerAddressField,
  seeds: z.array(peerAddressField),
  regions: z.record(z.string(), z.string()),
  host_mbit_per_s: rateField,
  region_mbit_per_s: rateField.default(DEFAULT_REGION_MBIT_PER_S),
  switch_within_ms: z.number().nonnegative(),
});

export function parseSidecarSettings(
  text: string,
  { file }: { readonly file: string },
): Result<SidecarProgramSettings, readonly Finding[]> {
  return parseYaml(text, { file, schema }).map((parsed) => ({
    ...toCamelCaseKeys(parsed),
    regions: parsed.regions,
  }));
}
