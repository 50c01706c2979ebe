/**
 * Runs one stand-in as a process: `node main.js KIND OPTIONS_JSON`. Prints the
 * bound address as one line of JSON on standard output.
 */

import { startEngine } from "./engine.ts";
import type { EngineOptions } from "./engine.ts";
import { createModelFiles } from "./model_files.ts";
import type { ModelFilesOptions } from "./model_files.ts";
import { startPlainService } from "./plain_service.ts";
import type { PlainServiceOptions } from "./plain_service.ts";
import { startPlatform } from "./platform.ts";
import type { PlatformOptions } from "./platform.ts";
import { startWeightStore } from "./weight_store.ts";

export interface StoreProcessOptions {
  readonly address?: string;
  readonly mbitPerS: number;
  readonly model: string;
  readonly versions: readonly string[];
  readonly files: ModelFilesOptions;
}

const START_FUNCTIONS: Readonly<
  Record<string, (options: unknown) => Promise<{ address: string }>>
> = {
  platform: (options) => startPlatform(options as PlatformOptions),
  engine: (options) => startEngine(options as EngineOptions),
  plain_service: (options) => startPlainService(options as PlainServiceOptions),
  weight_store: (options) =>
    startStoreFromOptions(options as StoreProcessOptions),
};

function startStoreFromOptions(options: StoreProcessOptions) {
  return startWeightStore({
    ...options,
    files: options.versions.map((version) =>
      createModelFiles(options.model, version, options.files),
    ),
  });
}

const [kind = "", json = "{}"] = process.argv.slice(2);
const start = START_FUNCTIONS[kind];
if (start === undefined) {
  console.error(`Unknown stand-in "${kind}"`);
  process.exit(2);
}
const { address } = await start(JSON.parse(json));
console.log(JSON.stringify({ address }));
// Standard input ends when the parent process exits. A stand-in must not
// outlive its parent.
process.stdin.resume().on("end", () => process.exit(0));
