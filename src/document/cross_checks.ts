/**
 * Checks between parts of a document. Each check runs on the items that match
 * the schema, so that one invalid item does not hide other problems.
 */

import type * as z from "zod";
import {
  clientAccountSchema,
  dataCentreSchema,
  modelSchema,
  regionSchema,
  serviceSchema,
} from "./document_schema.ts";
import type { RawService } from "./document_schema.ts";
import { suggestWord } from "./edit_distance.ts";
import { formatValue } from "./issue.ts";
import type { Issue, Path } from "./issue.ts";

type Located<Item> = { readonly item: Item; readonly path: Path };
type RawPlainService = Extract<RawService, { kind: "plain" }>;

export function checkConsistency(input: unknown): readonly Issue[] {
  const dataCentres = parseValidItems(input, "data_centres", dataCentreSchema);
  const models = parseValidItems(input, "models", modelSchema);
  const services = parseValidItems(input, "services", serviceSchema);
  const accounts = parseValidItems(
    input,
    "client_accounts",
    clientAccountSchema,
  );
  return [
    ...checkUnique(parseValidItems(input, "regions", regionSchema), "name"),
    ...checkUnique(dataCentres, "name"),
    ...checkDataCentres(dataCentres, listNames(input, "regions")),
    ...checkUnique(models, "name"),
    ...models.flatMap(checkModel),
    ...checkDigestSizes(models),
    ...checkUnique(services, "name"),
    ...services.flatMap(checkAdmission),
    ...checkModelReferences(services, listNames(input, "models")),
    ...services.flatMap(checkPlainService),
    ...checkUnique(accounts, "name"),
    ...checkUnique(accounts, "api_key_sha256"),
  ];
}

function listItems(input: unknown, key: string): readonly unknown[] {
  if (input === null || typeof input !== "object") return [];
  const items = (input as Record<string, unknown>)[key];
  return Array.isArray(items) ? items : [];
}

function parseValidItems<Schema extends z.ZodType>(
  input: unknown,
  key: string,
  schema: Schema,
): readonly Located<z.output<Schema>>[] {
  return listItems(input, key).flatMap((raw, index) => {
    const parsed = schema.safeParse(raw);
    return parsed.success ? [{ item: parsed.data, path: [key, index] }] : [];
  });
}

/** Names of all items, including invalid ones. */
function listNames(input: unknown, key: string): readonly string[] {
  return listItems(input, key).flatMap((raw) => {
    if (raw === null || typeof raw !== "object") return [];
    const { name } = raw as { name?: unknown };
    return typeof name === "string" ? [name] : [];
  });
}

function checkUnique<Key extends string, Item extends Record<Key, string>>(
  items: readonly Located<Item>[],
  key: Key,
): readonly Issue[] {
  const seen = new Set<string>();
  return items.flatMap(({ item, path }) => {
    const value = item[key];
    if (!seen.has(value)) {
      seen.add(value);
      return [];
    }
    return [
      createIssue([...path, key], {
        message: `${formatValue(value)} appears more than once`,
        fix: `Give each item its own "${key}" or remove one`,
      }),
    ];
  });
}

function checkDataCentres(
  dataCentres: readonly Located<z.output<typeof dataCentreSchema>>[],
  regions: readonly string[],
): readonly Issue[] {
  const known = new Set(regions);
  const unknown = dataCentres
    .filter(({ item }) => !known.has(item.region))
    .map(({ item, path }) =>
      createUnknownNameIssue([...path, "region"], {
        kind: "region",
        name: item.region,
        known: regions,
      }),
    );
  const first = dataCentres[0];
  if (first === undefined || dataCentres.some(({ item }) => !item.out)) {
    return unknown;
  }
  return [
    ...unknown,
    createIssue([...first.path, "out"], {
      message: "Every data centre is out, so no requests would be served",
      fix: 'Set "out: false" for at least one data centre',
    }),
  ];
}

function checkModel({
  item,
  path,
}: Located<z.output<typeof modelSchema>>): readonly Issue[] {
  const versions = item.versions.map((version, index) => ({
    item: version,
    path: [...path, "versions", index],
  }));
  const names = item.versions.map(({ name }) => name);
  return [
    ...checkUnique(versions, "name"),
    ...(names.includes(item.serving_version)
      ? []
      : [
          createUnknownNameIssue([...path, "serving_version"], {
            kind: "version",
            name: item.serving_version,
            known: names,
          }),
        ]),
  ];
}

function checkDigestSizes(
  models: readonly Located<z.output<typeof modelSchema>>[],
): readonly Issue[] {
  const sizeByDigest = new Map<string, number>();
  return models.flatMap(({ item, path }) =>
    item.versions.flatMap(({ digest, size_bytes: size }, index) => {
      const knownSize = sizeByDigest.get(digest) ?? size;
      sizeByDigest.set(digest, knownSize);
      if (knownSize === size) return [];
      return [
        createIssue([...path, "versions", index, "size_bytes"], {
          message: `Size ${size} differs from ${knownSize} for the same digest`,
          fix: "Use the manifest's size_bytes, or the digest that was meant",
        }),
      ];
    }),
  );
}

function checkAdmission({ item, path }: Located<RawService>): readonly Issue[] {
  const { cold_concurrency: cold, warm_concurrency: warm } = item.admission;
  if (cold <= warm) return [];
  return [
    createIssue([...path, "admission", "cold_concurrency"], {
      message: `cold_concurrency ${cold} is above warm_concurrency ${warm}`,
      fix: `Use at most ${warm}`,
    }),
  ];
}

function checkModelReferences(
  services: readonly Located<RawService>[],
  models: readonly string[],
): readonly Issue[] {
  const known = new Set(models);
  const serviceByModel = new Map<string, string>();
  return services.flatMap(({ item, path }) => {
    if (item.kind !== "language") return [];
    if (!known.has(item.model)) {
      return [
        createUnknownNameIssue([...path, "model"], {
          kind: "model",
          name: item.model,
          known: models,
        }),
      ];
    }
    const otherService = serviceByModel.get(item.model);
    serviceByModel.set(item.model, otherService ?? item.name);
    if (otherService === undefined) return [];
    return [
      createIssue([...path, "model"], {
        message: `Model ${formatValue(item.model)} is already served by ${otherService}`,
        fix: "Use one language service for each model; requests name the model",
      }),
    ];
  });
}

function checkPlainService({
  item,
  path,
}: Located<RawService>): readonly Issue[] {
  if (item.kind !== "plain") return [];
  return [...checkRoutes(item, path), ...checkRunnerSets(item, path)];
}

function checkRoutes(service: RawPlainService, path: Path): readonly Issue[] {
  const seen = new Set<string>();
  const duplicates = service.routes.flatMap((route, index) => {
    const key = `${route.method} ${route.path_prefix}`;
    if (!seen.has(key)) {
      seen.add(key);
      return [];
    }
    return [
      createIssue([...path, "routes", index], {
        message: `Route ${key} appears more than once`,
        fix: "Remove one of the routes",
      }),
    ];
  });
  const nonRepeatableIndex = service.routes.findIndex(
    (route) => !route.repeatable,
  );
  if (nonRepeatableIndex === -1 || service.runner_sets.length > 0)
    return duplicates;
  return [
    ...duplicates,
    createIssue([...path, "routes", nonRepeatableIndex, "repeatable"], {
      message: "A route is not repeatable, but the service has no runner_sets",
      fix: 'Add "runner_sets" with the hosts that run these calls',
    }),
  ];
}

function checkRunnerSets(
  service: RawPlainService,
  path: Path,
): readonly Issue[] {
  return service.runner_sets.flatMap((set, index) => {
    const setPath = [...path, "runner_sets", index];
    const previous = service.runner_sets[index - 1];
    const isOrdered =
      previous === undefined ||
      Date.parse(previous.from) < Date.parse(set.from);
    const orderIssue = createIssue([...setPath, "from"], {
      message: `Runner sets are out of order at ${set.from}`,
      fix: 'List runner sets by rising "from", without equal times',
    });
    const runners = set.runners.map((name, position) => ({
      item: { name },
      path: [...setPath, "runners", position],
    }));
    return [
      ...(isOrdered ? [] : [orderIssue]),
      ...checkUnique(runners, "name").map((issue) => ({
        ...issue,
        path: issue.path.slice(0, -1),
        fix: "Name each runner once",
      })),
    ];
  });
}

function createUnknownNameIssue(
  path: Path,
  options: { kind: string; name: string; known: readonly string[] },
): Issue {
  const { kind, name, known } = options;
  const suggestion = suggestWord(name, known);
  const shown = known.slice(0, 10).map(formatValue).join(", ");
  return createIssue(path, {
    message: `Unknown ${kind} ${formatValue(name)}`,
    fix:
      suggestion !== undefined
        ? `Did you mean "${suggestion}"?`
        : known.length === 0
          ? `Add the ${kind} first`
          : `Use one of ${shown}`,
  });
}

function createIssue(
  path: Path,
  { message, fix }: { message: string; fix: string },
): Issue {
  return { path, at: "value", message, fix };
}
