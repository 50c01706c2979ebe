/** The gateway program, which runs on an entry host of the users' platform. */

import {
  createIncarnationReader,
  createStartTimeReader,
  createStoreClient,
  HEADER_CODEC,
} from "../platform/mod.ts";
import { startGateway } from "../src/gateway/mod.ts";
import { createOutputLogger } from "../src/logging/mod.ts";
import { createRegistry, startMetricsServer } from "../src/metrics/mod.ts";
import { runProgram } from "../src/program/mod.ts";
import type { RunningProgram } from "../src/program/mod.ts";
import { loadSettings, parseGatewaySettings } from "../src/settings/mod.ts";
import type { GatewayProgramSettings } from "../src/settings/mod.ts";

const NAME = "zinniaspur-gateway";

async function start(
  settings: GatewayProgramSettings,
): Promise<RunningProgram<GatewayProgramSettings>> {
  const registry = createRegistry();
  const logger = createOutputLogger(NAME, settings.host);
  const metrics = await startMetricsServer(settings.metricsAddress, registry);
  const gateway = await startGateway({
    settings,
    store: createStoreClient({
      address: settings.storeAddress,
      registry,
      logger,
    }),
    codec: HEADER_CODEC,
    readStartTime: createStartTimeReader(),
    checkIncarnation: createIncarnationReader(),
    registry,
    logger,
  });
  return {
    stopped: new Promise(() => undefined),
    reload: (next) => gateway.reload(next),
    async shutDown() {
      await gateway.shutDown();
      metrics.close();
    },
  };
}

void runProgram(process.argv.slice(2), {
  name: NAME,
  description:
    "Accepts callers' requests and routes them to the platform's endpoints",
  loadSettings: (file) => loadSettings(file, parseGatewaySettings),
  start,
}).then((code) => process.exit(code));
