#!/usr/bin/env node
/** Entry point of `zinniaspur-agent`. */

import { runAgent } from "../src/agent/mod.ts";
import type { AgentParts } from "../src/agent/mod.ts";
// @ts-expect-error The module arrives with another branch.
import { startNode } from "../src/node/mod.ts";
// @ts-expect-error The module arrives with another branch.
import { loadSettings, parseAgentSettings } from "../src/settings/mod.ts";
// @ts-expect-error The module arrives with another branch.
import { createWeights } from "../src/weights/mod.ts";

const parts: AgentParts = {
  version: "0.1.0",
  loadSettings: (file) => loadSettings(file, parseAgentSettings),
  startNode: ({ settings, registry, logger }) =>
    startNode({
      host: settings.host,
      role: "agent",
      dataCentre: settings.dataCentre,
      service: settings.service,
      peerAddress: settings.peerAddress,
      platformUrl: settings.platformUrl,
      seedPeers: settings.seedPeers,
      registry,
      logger,
    }),
  createWeights: (node, { settings, registry, logger }) =>
    createWeights({
      node,
      service: settings.service,
      storeUrl: settings.weightStoreUrl,
      memoryBytes: settings.weightsMemoryBytes,
      policy: settings.weightsPolicy,
      hostUpMbitPerS: settings.hostUpMbitPerS,
      hostDownMbitPerS: settings.hostDownMbitPerS,
      registry,
      logger,
    }),
};

process.exitCode = await runAgent(process.argv, parts);
