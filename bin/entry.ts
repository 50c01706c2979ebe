#!/usr/bin/env node
/** Starts an entry; see docs/design.md section 2. */

import { parseDocument } from "../src/document/mod.ts";
import { runEntry } from "../src/entry/mod.ts";
import { startNode } from "../src/node/mod.ts";
import { loadSettings, parseEntrySettings } from "../src/settings/mod.ts";

const VERSION = "0.1.0";

function waitForSignal(): Promise<string> {
  return new Promise((resolve) => {
    process.once("SIGTERM", resolve);
    process.once("SIGINT", resolve);
  });
}

process.exit(
  await runEntry({
    args: process.argv.slice(2),
    version: VERSION,
    loadSettings: (file) => loadSettings(file, parseEntrySettings),
    startNode: (settings, { registry, logger }) =>
      startNode({ role: "entry", settings, registry, logger, parseDocument }),
    readHost: ({ host }) => host,
    print: (line) => console.log(line),
    printError: (line) => console.error(line),
    waitForSignal,
  }),
);
