/** The command line of the agent's binary, and its life from start to exit. */

import { Command, CommanderError } from "commander";
import type { Result } from "neverthrow";
import { formatFinding } from "../document/mod.ts";
import type { Finding } from "../document/mod.ts";
import { createLogger } from "../logging/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { Node } from "../node/mod.ts";
import type { Weights } from "../weights/mod.ts";
import { createAgent } from "./agent.ts";
import type { AgentProcessSettings } from "./agent.ts";

const EXIT_SUCCESS = 0;
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

/** What the settings file of an agent holds. */
export interface AgentSettings extends AgentProcessSettings {
  readonly host: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  readonly platformUrl: string;
  readonly seedPeers: readonly string[];
  readonly weightStoreUrl: string;
  readonly weightsMemoryBytes: number;
  readonly weightsPolicy: "swarm" | "store";
  readonly hostUpMbitPerS?: number;
  readonly hostDownMbitPerS?: number;
}

export interface StartOptions {
  readonly settings: AgentSettings;
  readonly registry: Registry;
  readonly logger: Logger;
}

/** The parts of the process that other modules make. */
export interface AgentParts {
  readonly version: string;
  readonly loadSettings: (
    file: string,
  ) => Promise<Result<AgentSettings, readonly Finding[]>>;
  readonly startNode: (options: StartOptions) => Promise<Node>;
  readonly createWeights: (node: Node, options: StartOptions) => Weights;
}

/** Resolves with the exit code when the process should end. */
export async function runAgent(
  argv: readonly string[],
  parts: AgentParts,
): Promise<number> {
  const command = new Command("zinniaspur-agent")
    .description("Stands beside one endpoint and decides what it runs")
    .version(parts.version)
    .requiredOption("--settings <file>", "settings file (YAML)")
    .option("--check", "validate the settings and exit")
    .exitOverride();
  try {
    command.parse(argv);
  } catch (error) {
    const isShown = error instanceof CommanderError && error.exitCode === 0;
    return isShown ? EXIT_SUCCESS : EXIT_USAGE;
  }
  const { settings: file, check } = command.opts<{
    settings: string;
    check?: boolean;
  }>();
  const settings = await parts.loadSettings(file);
  if (settings.isErr()) {
    settings.error.forEach((finding) => console.error(formatFinding(finding)));
    return EXIT_FAILURE;
  }
  if (check === true) return EXIT_SUCCESS;
  return runUntilStopped(settings.value, parts);
}

async function runUntilStopped(
  settings: AgentSettings,
  parts: AgentParts,
): Promise<number> {
  const logger = createLogger("zinniaspur-agent", settings.host);
  const registry = createRegistry();
  const options = { settings, registry, logger };
  const node = await parts.startNode(options);
  const weights = parts.createWeights(node, options);
  const agent = createAgent({ node, weights, ...options });
  await agent.start();
  logger.info({ http_address: agent.httpAddress() }, "agent started");

  const signal = waitForSignal();
  const reason = await Promise.race([agent.stopped, signal]);
  logger.info({ reason }, "agent is shutting down");
  await agent.shutDown();
  await agent.close();
  await weights.close();
  await node.close();
  return reason === "superseded" ? EXIT_FAILURE : EXIT_SUCCESS;
}

function waitForSignal(): Promise<string> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve("SIGTERM"));
    process.once("SIGINT", () => resolve("SIGINT"));
  });
}
