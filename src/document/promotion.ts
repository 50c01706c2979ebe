/**
 * Checks that a production document differs from the trial document only in
 * environment settings: the name, regions, data centres, links, client
 * accounts, runner sets and admission limits.
 */

import { compareItems, describeFieldChanges } from "./compare_items.ts";
import type {
  EnvironmentDocument,
  Model,
  PlainService,
  Service,
} from "./environment_document.ts";
import type { Issue, Path } from "./issue.ts";

/** The paths of the issues refer to the production document. */
export function checkPromotion(
  trial: EnvironmentDocument,
  production: EnvironmentDocument,
): readonly Issue[] {
  return [
    ...describeFieldChanges([trial, production], ["deployment"]).map((text) =>
      createIssue(["deployment"], {
        message: `Trial and production differ: ${text}`,
        fix: "Compare documents of the same deployment",
      }),
    ),
    ...checkModels(trial.models, production.models),
    ...checkServices(trial.services, production.services),
  ];
}

function checkModels(
  trial: readonly Model[],
  production: readonly Model[],
): readonly Issue[] {
  return [
    ...checkNames(trial, production, { path: ["models"], kind: "model" }),
    ...compareItems(trial, production).kept.flatMap(([trialModel, model]) => {
      const path = ["models", production.indexOf(model)];
      return [
        ...checkNames(trialModel.versions, model.versions, {
          path: [...path, "versions"],
          kind: `version of ${model.name}`,
        }),
        ...compareItems(trialModel.versions, model.versions).kept.flatMap(
          (pair) =>
            checkFields(pair, {
              path: [...path, "versions", model.versions.indexOf(pair[1])],
              fields: ["digest", "sizeBytes"],
            }),
        ),
        ...checkFields([trialModel, model], {
          path,
          fields: ["servingVersion"],
        }),
      ];
    }),
  ];
}

function checkServices(
  trial: readonly Service[],
  production: readonly Service[],
): readonly Issue[] {
  return [
    ...checkNames(trial, production, { path: ["services"], kind: "service" }),
    ...compareItems(trial, production).kept.flatMap(
      ([trialService, service]) => {
        const path = ["services", production.indexOf(service)];
        if (trialService.kind === "language" && service.kind === "language") {
          return checkFields([trialService, service], {
            path,
            fields: ["model"],
          });
        }
        if (trialService.kind === "plain" && service.kind === "plain") {
          return checkPlainService([trialService, service], path);
        }
        return checkFields([trialService, service], { path, fields: ["kind"] });
      },
    ),
  ];
}

function checkPlainService(
  [trialService, service]: readonly [PlainService, PlainService],
  path: Path,
): readonly Issue[] {
  const routes = toNamedRoutes(service);
  const routesPath = [...path, "routes"];
  return [
    ...checkNames(toNamedRoutes(trialService), routes, {
      path: routesPath,
      kind: `route of ${service.name}`,
    }),
    ...compareItems(toNamedRoutes(trialService), routes).kept.flatMap((pair) =>
      checkFields(pair, {
        path: [...routesPath, routes.indexOf(pair[1])],
        fields: ["repeatable"],
      }),
    ),
    ...checkFields([trialService, service], {
      path,
      fields: ["runnerLeadS", "maxKeys"],
    }),
  ];
}

function toNamedRoutes({ routes }: PlainService) {
  return routes.map((route) => ({
    name: `${route.method} ${route.pathPrefix}`,
    repeatable: route.repeatable,
  }));
}

function checkNames<Item extends { readonly name: string }>(
  trial: readonly Item[],
  production: readonly Item[],
  { path, kind }: { path: Path; kind: string },
): readonly Issue[] {
  const { added, removed } = compareItems(trial, production);
  return [
    ...added.map((item) =>
      createIssue([...path, production.indexOf(item)], {
        message: `The ${kind} ${item.name} is not in the trial document`,
        fix: "Add it to the trial document first, or remove it here",
      }),
    ),
    ...removed.map(({ name }) =>
      createIssue(path, {
        message: `The ${kind} ${name} of the trial document is missing`,
        fix: `Copy ${name} from the trial document`,
      }),
    ),
  ];
}

function checkFields<Item extends object>(
  pair: readonly [Item, Item],
  { path, fields }: { path: Path; fields: readonly (keyof Item & string)[] },
): readonly Issue[] {
  return describeFieldChanges(pair, fields).map((text) =>
    createIssue([...path, text.split(" ")[0] ?? ""], {
      message: `Trial and production differ: ${text}`,
      fix: "Use the value of the trial document",
    }),
  );
}

function createIssue(
  path: Path,
  { message, fix }: { message: string; fix: string },
): Issue {
  return { path, at: "value", message, fix };
}
