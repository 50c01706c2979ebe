/** Collects the state of each endpoint of a service for one call. */

import type {
  CallService,
  ListedEndpoint,
  ServedModel,
} from "../directory/mod.ts";
import type { EndpointLoad, EndpointView } from "../scheduling/mod.ts";
import { computeStartWindowMs } from "../scheduling/mod.ts";
import type { Call } from "./call.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { computeColdLimit } from "./rate_limits.ts";

export interface ViewOptions {
  readonly call: Call;
  readonly service: CallService;
  /** Ids of the endpoints that this call has been sent to. */
  readonly triedEndpoints: ReadonlySet<string>;
  /** Version that a resumed stream started with; it must not change. */
  readonly weightVersion: number | undefined;
  /** Share of a queue that an endpoint admits before the call. */
  readonly shareAhead?: number | undefined;
}

export function listEndpointViews(
  context: GatewayContext,
  options: ViewOptions,
): readonly EndpointView[] {
  const { call, service } = options;
  const allowedRegions = listAllowedRegions(call);
  const coldLimitPerS = readColdLimit(context, service);
  const usualPromptTokens = service.engine?.usualPromptTokens ?? 0;
  return context.candidates.list(service).map((endpoint) => {
    const load = context.loads.read(endpoint.address, {
      usualPromptTokens,
      urgency: call.urgency.rank,
      slots: endpoint.slots,
      shareAhead: options.shareAhead,
    });
    const served =
      service.engine && findServedModel(endpoint, load, call.headers.model);
    const model = served?.name;
    const weightVersion = served?.version;
    const { roundTripMs } = load;
    const startWindowMs = findStartWindowMs(context, {
      model,
      weightVersion,
      roundTripMs,
    });
    const region = context.regions[endpoint.dataCentre] ?? "";
    const isAllowed =
      !endpoint.isDraining &&
      !options.triedEndpoints.has(endpoint.id) &&
      !context.directory.isEvacuated(endpoint.dataCentre) &&
      (allowedRegions === undefined || allowedRegions.has(region)) &&
      (service.engine === undefined ||
        isEngineReady(options, { load, weightVersion }));
    return {
      endpoint,
      load,
      isAllowed,
      isLeaving:
        context.availability.isLeaving(endpoint) ||
        load.report?.phase === "leaving",
      pausedMs: context.availability.closedMs(endpoint),
      isInBackoff: context.health.isInBackoff(endpoint.id),
      hasColdCapacity:
        context.rateLimits.countFree(endpoint, coldLimitPerS) >= 1,
      requestLimitPerS: context.requestPermits.readLimitPerS(endpoint),
      hasPermit: context.requestPermits.isAvailable(endpoint),
      failureRate: context.health.failureRate(endpoint.id),
      distance: classifyDistance(context, endpoint.dataCentre),
      model,
      weightVersion,
      startWindowMs,
    };
  });
}

/** Time left in which a request may start on `weightVersion`, or Infinity. */
export function findStartWindowMs(
  { directory, bounds, clock }: GatewayContext,
  options: {
    readonly model: string | undefined;
    readonly weightVersion: number | undefined;
    readonly roundTripMs: number;
  },
): number {
  const { model, weightVersion, roundTripMs } = options;
  if (model === undefined || weightVersion === undefined) return Infinity;
  return computeStartWindowMs(weightVersion, directory.wantedWeights(model), {
    oldVersionGraceMs: bounds.versionMs,
    nowMs: clock.nowMs(),
    roundTripMs,
  });
}

/** Requests per second that all entries together may send to an endpoint. */
export function readColdLimit(
  { bounds }: Pick<GatewayContext, "bounds">,
  { coldRequestsPerS }: CallService,
): number {
  return computeColdLimit({
    coldRequestsPerS,
    overageFactor: bounds.coldOverage,
    slack: bounds.coldSlack,
  });
}

/** Undefined when every region is allowed. */
function listAllowedRegions(call: Call): ReadonlySet<string> | undefined {
  const byRoute = call.route.allowedRegions;
  const byAccount = call.account?.allowedRegions ?? [];
  if (byRoute.length === 0 && byAccount.length === 0) return undefined;
  if (byRoute.length === 0) return new Set(byAccount);
  if (byAccount.length === 0) return new Set(byRoute);
  return new Set(byRoute.filter((region) => byAccount.includes(region)));
}

/** Prefers the agent's report, which is newer than the published list. */
function findServedModel(
  endpoint: ListedEndpoint,
  load: EndpointLoad,
  model: string | undefined,
): ServedModel | undefined {
  const models = load.report?.models ?? endpoint.models;
  return model === undefined
    ? models[0]
    : models.find(({ name }) => name === model);
}

function isEngineReady(
  options: ViewOptions,
  found: {
    readonly load: EndpointLoad;
    readonly weightVersion: number | undefined;
  },
): boolean {
  const { weightVersion } = found;
  if (weightVersion === undefined) return false;
  const phase = found.load.report?.phase;
  if (phase === "down" || phase === "loading" || phase === "empty") {
    return false;
  }
  return (
    options.weightVersion === undefined ||
    weightVersion === options.weightVersion
  );
}

function classifyDistance(
  context: GatewayContext,
  dataCentre: string,
): EndpointView["distance"] {
  if (dataCentre === context.dataCentre) return "data_centre";
  const { regions } = context;
  return regions[dataCentre] === regions[context.dataCentre]
    ? "region"
    : "other_region";
}
