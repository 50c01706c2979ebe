/** The program beside a model worker on the users' platform. */

import { createEndpointClient, createOriginClient } from "../platform/mod.ts";
import { startCompanion } from "../src/companion/mod.ts";
import { createOutputLogger } from "../src/logging/mod.ts";
import { createRegistry, startMetricsServer } from "../src/metrics/mod.ts";
import { runProgram } from "../src/program/mod.ts";
import type { RunningProgram } from "../src/program/mod.ts";
import { loadSettings, parseCompanionSettings } from "../src/settings/mod.ts";
import type { CompanionProgramSettings } from "../src/settings/mod.ts";

const NAME = "zinniaspur-companion";

async function start(
  settings: CompanionProgramSettings,
): Promise<RunningProgram<CompanionProgramSettings>> {
  const registry = createRegistry();
  const logger = createOutputLogger(NAME, settings.host);
  const metrics = await startMetricsServer(settings.metricsAddress, registry);
  const companion = await startCompanion({
    settings,
    endpoint: createEndpointClient(settings.endpointAddress),
    createOrigin: (readAddress) => createOriginClient({ readAddress }),
    registry,
    logger,
  });
  return {
    stopped: new Promise(() => undefined),
    reload: (next) => companion.reload(next),
    async shutDown() {
      await companion.close();
      metrics.close();
    },
  };
}

process.exit(
  await runProgram(process.argv.slice(2), {
    name: NAME,
    description: "Brings weights to a model worker and reports its load",
    loadSettings: (file) => loadSettings(file, parseCompanionSettings),
    start,
  }),
);
