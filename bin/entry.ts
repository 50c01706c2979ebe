#!/usr/bin/env -S node --max-semi-space-size=4
/**
 * The entry program. The first line limits the young generation of the heap:
 * with the 16 MB default of Node.js a process under full load uses about 25 MB
 * more, and its longest garbage collection pauses are longer.
 */

import { parseDocument } from "../src/document/mod.ts";
import { createEntry } from "../src/entry/mod.ts";
import { createLogger } from "../src/logging/mod.ts";
import { createRegistry } from "../src/metrics/mod.ts";
import { startNode } from "../src/node/mod.ts";
import { runProgram } from "../src/program/mod.ts";
import type { RunningProgram } from "../src/program/mod.ts";
import { loadSettings, parseEntrySettings } from "../src/settings/mod.ts";
import type { EntrySettings } from "../src/settings/mod.ts";

const NAME = "zinniaspur-entry";

async function start(settings: EntrySettings): Promise<RunningProgram> {
  const registry = createRegistry();
  const logger = createLogger(NAME, settings.host);
  const node = await startNode({
    ...settings,
    role: "entry",
    registry,
    logger,
    parseDocument: (text) => parseDocument(text, { file: "configuration" }),
  });
  const entry = createEntry({ node, settings, registry, logger });
  const address = (await entry.listen()).match(
    (bound) => bound,
    (code) => {
      throw new Error(`Cannot listen on ${settings.httpAddress}: ${code}`);
    },
  );
  logger.info({ address, peerAddress: node.peerAddress }, "entry is listening");
  return {
    stopped: new Promise(() => undefined),
    async shutDown() {
      await entry.shutDown();
      await node.close();
    },
  };
}

process.exit(
  await runProgram(process.argv.slice(2), {
    name: NAME,
    description: "Accepts callers' requests and routes them to endpoints",
    loadSettings: (file) => loadSettings(file, parseEntrySettings),
    start,
  }),
);
