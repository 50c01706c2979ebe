#!/usr/bin/env -S node --max-semi-space-size=4
/**
 * The agent program, which runs next to an endpoint. The first line limits the
 * young generation of the heap, as in `entry.ts`.
 */

import { createAgent } from "../src/agent/mod.ts";
import { parseDocument } from "../src/document/mod.ts";
import { createLogger } from "../src/logging/mod.ts";
import { createRegistry } from "../src/metrics/mod.ts";
import { startNode } from "../src/node/mod.ts";
import { runProgram } from "../src/program/mod.ts";
import type { RunningProgram } from "../src/program/mod.ts";
import { loadSettings, parseAgentSettings } from "../src/settings/mod.ts";
import type { AgentSettings } from "../src/settings/mod.ts";
import {
  createStoreClient,
  createWeightDistributor,
} from "../src/weights/mod.ts";

const NAME = "zinniaspur-agent";

async function start(settings: AgentSettings): Promise<RunningProgram> {
  const registry = createRegistry();
  const logger = createLogger(NAME, settings.host);
  const node = await startNode({
    ...settings,
    role: "agent",
    registry,
    logger,
    parseDocument: (text) => parseDocument(text, { file: "configuration" }),
  });
  const weights = createWeightDistributor({
    node,
    service: settings.service,
    store: createStoreClient(settings.weightStoreUrl),
    memoryBytes: settings.weightsMemoryBytes,
    policy: settings.weightsPolicy,
    hostUpMbitPerS: settings.hostUpMbitPerS,
    hostDownMbitPerS: settings.hostDownMbitPerS,
    registry,
    logger,
  });
  const agent = createAgent({ node, weights, settings, registry, logger });
  await agent.start();
  logger.info(
    { address: agent.httpAddress(), peerAddress: node.peerAddress },
    "agent is listening",
  );
  return {
    stopped: agent.stopped,
    async shutDown() {
      await agent.shutDown();
      await agent.close();
      await weights.close();
      await node.close();
    },
  };
}

process.exit(
  await runProgram(process.argv.slice(2), {
    name: NAME,
    description: "Controls one endpoint and admits its requests",
    loadSettings: (file) => loadSettings(file, parseAgentSettings),
    start,
  }),
);
