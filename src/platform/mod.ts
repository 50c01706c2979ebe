/** Reads and watches the platform's configuration and host list. */

export { createBackoff } from "./backoff.ts";
export type { Backoff, BackoffOptions } from "./backoff.ts";
export { delay } from "./delay.ts";
export { createPlatformClient } from "./platform_client.ts";
export type {
  PlatformResponse,
  PlatformClient,
  PlatformFailure,
  PlatformRead,
  PlatformValue,
  ReadOptions,
} from "./platform_client.ts";
