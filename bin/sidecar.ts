/**
 * The sidecar program, which runs next to an endpoint on the users' platform.
 */

import { createEndpointClient, createOriginClient } from "../platform/mod.ts";
import { startSidecar } from "../src/sidecar/mod.ts";
import { createOutputLogger } from "../src/logging/mod.ts";
import { createRegistry, startMetricsServer } from "../src/metrics/mod.ts";
import { runProgram } from "../src/program/mod.ts";
import type { RunningProgram } from "../src/program/mod.ts";
import { loadSettings, parseSidecarSettings } from "../src/settings/mod.ts";
import type { SidecarProgramSettings } from "../src/settings/mod.ts";

const NAME = "zinniaspur-sidecar";

async function start(
  settings: SidecarProgramSettings,
): Promise<RunningProgram<SidecarProgramSettings>> {
  const registry = createRegistry();
  const logger = createOutputLogger(NAME, settings.host);
  const metrics = await startMetricsServer(settings.metricsAddress, registry);
  const sidecar = await startSidecar({
    settings,
    endpoint: createEndpointClient(settings.endpointAddress),
    createOrigin: (readAddress) => createOriginClient({ readAddress }),
    registry,
    logger,
  });
  return {
    stopped: new Promise(() => undefined),
    reload: (next) => sidecar.reload(next),
    async shutDown() {
      await sidecar.close();
      metrics.close();
    },
  };
}

void runProgram(process.argv.slice(2), {
  name: NAME,
  description: "Transfers weights to one endpoint and reports its load",
  loadSettings: (file) => loadSettings(file, parseSidecarSettings),
  start,
}).then((code) => process.exit(code));
