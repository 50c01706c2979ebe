/** Describes what changes when a new document replaces the current one. */

import { compareItems, describeFieldChanges } from "./compare_items.ts";
import type { ItemChanges } from "./compare_items.ts";
import type {
  ClientAccount,
  DataCentre,
  EnvironmentDocument,
  Links,
  Model,
  PlainService,
  Service,
} from "./environment_document.ts";
import type { Issue } from "./issue.ts";
import {
  checkRunnerChanges,
  formatTime,
  hasSameRunners,
} from "./runner_changes.ts";
import { planWeightTransfers } from "./weight_transfers.ts";
import type {
  HostPlacement,
  WeightDrop,
  WeightTransfer,
} from "./weight_transfers.ts";

export interface DocumentDiff {
  /** One sentence for each change. */
  readonly changes: readonly string[];
  readonly transfers: readonly WeightTransfer[];
  readonly drops: readonly WeightDrop[];
  /** Changes that must not be published; paths refer to the new document. */
  readonly issues: readonly Issue[];
}

export interface DiffOptions {
  readonly nowMs: number;
  readonly hosts?: readonly HostPlacement[] | undefined;
}

export function diffDocuments(
  before: EnvironmentDocument,
  after: EnvironmentDocument,
  { nowMs, hosts }: DiffOptions,
): DocumentDiff {
  const pair = [before, after] as const;
  return {
    changes: [
      ...describeFieldChanges(pair, ["environment", "deployment"]),
      ...describeRegions(pair),
      ...describeDataCentres(
        compareItems(before.dataCentres, after.dataCentres),
      ),
      ...describeLinks([before.links, after.links]),
      ...describeModels(compareItems(before.models, after.models)),
      ...describeServices(compareItems(before.services, after.services)),
      ...describeAccounts(
        compareItems(before.clientAccounts, after.clientAccounts),
      ),
    ],
    ...planWeightTransfers(pair, hosts),
    issues: checkRunnerChanges(pair, nowMs),
  };
}

type Pair<Item> = readonly [before: Item, after: Item];

function describeRegions([before, after]: Pair<EnvironmentDocument>) {
  const { added, removed } = compareItems(before.regions, after.regions);
  return [
    ...added.map(({ name }) => `region ${name} is added`),
    ...removed.map(({ name }) => `region ${name} is removed`),
  ];
}

function describeDataCentres(changes: ItemChanges<DataCentre>) {
  return [
    ...changes.added.map(
      ({ name, out }) => `data centre ${name} is added${out ? ", out" : ""}`,
    ),
    ...changes.removed.map(({ name }) => `data centre ${name} is removed`),
    ...changes.kept.flatMap(([before, after]) => [
      ...(before.out === after.out
        ? []
        : [
            after.out
              ? `data centre ${after.name} is taken out: it receives no new work`
              : `data centre ${after.name} is put back in: it receives new work`,
          ]),
      ...describeFieldChanges([before, after], ["region"]).map(
        (text) => `data centre ${after.name}: ${text}`,
      ),
    ]),
  ];
}

function describeLinks(pair: Pair<Links>) {
  return describeFieldChanges(pair, [
    "hostMbitPerS",
    "storeMbitPerS",
    "regionMbitPerS",
  ]).map((text) => `links: ${text}`);
}

function describeModels(changes: ItemChanges<Model>) {
  return [
    ...changes.added.map(
      ({ name, servingVersion }) =>
        `model ${name} is added, serving version ${servingVersion}`,
    ),
    ...changes.removed.map(({ name }) => `model ${name} is removed`),
    ...changes.kept.flatMap((pair) => describeModel(pair)),
  ];
}

function describeModel([before, after]: Pair<Model>) {
  const versions = compareItems(before.versions, after.versions);
  return [
    ...versions.added.map(({ name }) => `version ${name} is added`),
    ...versions.removed.map(({ name }) => `version ${name} is removed`),
    ...versions.kept.flatMap(([old, version]) =>
      describeFieldChanges([old, version], ["digest", "sizeBytes"]).map(
        (text) => `version ${version.name}: ${text}`,
      ),
    ),
    ...describeFieldChanges([before, after], ["servingVersion"]),
  ].map((text) => `model ${after.name}: ${text}`);
}

function describeServices(changes: ItemChanges<Service>) {
  return [
    ...changes.added.map(
      ({ name, kind }) => `service ${name} (${kind}) is added`,
    ),
    ...changes.removed.map(
      ({ name, kind }) => `service ${name} (${kind}) is removed`,
    ),
    ...changes.kept.flatMap((pair) => describeService(pair)),
  ];
}

function describeService([before, after]: Pair<Service>) {
  const isLanguage = before.kind === "language" && after.kind === "language";
  const isPlain = before.kind === "plain" && after.kind === "plain";
  return [
    ...describeFieldChanges([before, after], ["kind"]),
    ...describeFieldChanges(
      [before.admission, after.admission],
      ["coldConcurrency", "warmConcurrency", "maxQueued"],
    ),
    ...(isLanguage ? describeFieldChanges([before, after], ["model"]) : []),
    ...(isPlain ? describePlainService([before, after]) : []),
  ].map((text) => `service ${after.name}: ${text}`);
}

function describePlainService([before, after]: Pair<PlainService>) {
  const routes = compareItems(toNamedRoutes(before), toNamedRoutes(after));
  const sets = compareItems(
    toNamedRunnerSets(before),
    toNamedRunnerSets(after),
  );
  return [
    ...routes.added.map(
      ({ name, repeatable }) =>
        `route ${name} is added, ${repeatable ? "repeatable" : "not repeatable"}`,
    ),
    ...routes.removed.map(({ name }) => `route ${name} is removed`),
    ...routes.kept.flatMap(([old, route]) =>
      describeFieldChanges([old, route], ["repeatable"]).map(
        (text) => `route ${route.name}: ${text}`,
      ),
    ),
    ...sets.added.map(
      ({ name, runners }) => `from ${name} runs on ${runners.join(", ")}`,
    ),
    ...sets.removed.map(({ name }) => `runner set from ${name} is removed`),
    ...sets.kept
      .filter(([old, set]) => !hasSameRunners(old, set))
      .map(
        ([old, set]) =>
          `runner set from ${set.name} changes from ${old.runners.join(", ")} to ${set.runners.join(", ")}`,
      ),
    ...describeFieldChanges([before, after], ["runnerLeadS", "maxKeys"]),
  ];
}

function toNamedRoutes({ routes }: PlainService) {
  return routes.map((route) => ({
    name: `${route.method} ${route.pathPrefix}`,
    repeatable: route.repeatable,
  }));
}

function toNamedRunnerSets({ runnerSets }: PlainService) {
  return runnerSets.map((set) => ({ ...set, name: formatTime(set.fromMs) }));
}

function describeAccounts(changes: ItemChanges<ClientAccount>) {
  return [
    ...changes.added.map(
      ({ name, requestsPerS }) =>
        `client account ${name} is added with ${requestsPerS} requests/s`,
    ),
    ...changes.removed.map(({ name }) => `client account ${name} is removed`),
    ...changes.kept.flatMap(([before, after]) =>
      [
        ...(before.apiKeySha256 === after.apiKeySha256
          ? []
          : ["the API key is replaced; the old key is refused"]),
        ...describeFieldChanges([before, after], ["requestsPerS", "priority"]),
      ].map((text) => `client account ${after.name}: ${text}`),
    ),
  ];
}
