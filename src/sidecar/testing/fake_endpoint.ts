/**
 * Endpoint in memory for tests of the agent: staged chunks, which a test can
 * corrupt at any step, and orders, which load what is staged when they are
 * accepted.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type {
  EndpointApi,
  EndpointFailure,
  EndpointReport,
} from "../endpoint_api.ts";
import { createReport } from "./mod.ts";

export const MODEL = "m";
export const CHUNK_COUNT = 2;
const LOAD_MS = 20;

export interface Load {
  readonly version: number;
  /** True if each chunk was that of the version when the order was accepted. */
  readonly isSound: boolean;
}

type OrderResult = Result<"begun" | "in_effect" | "conflict", EndpointFailure>;

export interface FakeEndpointOptions {
  readonly version: number;
  /** Called after a check has read the last chunk. */
  readonly onChecked?: () => void;
  /** Called when an order has been sent; `accept` lets it reach the endpoint. */
  readonly onOrder?: (accept: () => OrderResult) => Promise<OrderResult>;
}

export type FakeEndpoint = ReturnType<typeof createFakeEndpoint>;

export function createTestChunk(version: number, index: number): Buffer {
  return Buffer.from(`${version}.${index}`);
}

export function createFakeEndpoint(options: FakeEndpointOptions) {
  const staged = new Map<number, Uint8Array>();
  const loads: Load[] = [];
  let served: Load | undefined = { version: options.version, isSound: true };
  let startedAtMs = 1;
  let acceptedOrders = 0;
  let loadTimer: NodeJS.Timeout | undefined;

  Array.from({ length: CHUNK_COUNT }, (_, index) =>
    staged.set(index, createTestChunk(options.version, index)),
  );

  function isStaged(wanted: number): boolean {
    return Array.from({ length: CHUNK_COUNT }).every((_, index) =>
      createTestChunk(wanted, index).equals(
        staged.get(index) ?? Buffer.alloc(0),
      ),
    );
  }

  function accept(version: number, expectedOrders: number): OrderResult {
    if (loadTimer !== undefined || expectedOrders !== acceptedOrders) {
      return ok("conflict");
    }
    if (version === served?.version) return ok("in_effect");
    const load = { version, isSound: isStaged(version) };
    loads.push(load);
    acceptedOrders += 1;
    loadTimer = setTimeout(() => {
      served = load;
      loadTimer = undefined;
    }, LOAD_MS);
    return ok("begun");
  }

  function readReport(): EndpointReport {
    return createReport({
      models:
        served === undefined ? [] : [{ name: MODEL, version: served.version }],
      acceptedOrders,
      isBusy: loadTimer !== undefined,
      startedAtMs,
    });
  }

  const endpoint: EndpointApi = {
    readReport: () => Promise.resolve(ok(readReport())),
    startVersion({ version }, { acceptedOrders: expected, mayBeSent }) {
      if (!mayBeSent()) return Promise.resolve(err("not_sent" as const));
      const reach = () => accept(version, expected);
      return options.onOrder?.(reach) ?? Promise.resolve(reach());
    },
    listStaged: () => Promise.resolve(ok([...staged.keys()])),
    readStaged(_, index) {
      const bytes = staged.get(index);
      if (index === CHUNK_COUNT - 1) options.onChecked?.();
      return Promise.resolve(ok(bytes));
    },
    writeStaged(_, index, bytes) {
      staged.set(index, bytes);
      return Promise.resolve(ok(undefined));
    },
    close: () => Promise.resolve(),
  };
  return {
    endpoint,
    loads,
    /** The load that requests run on. */
    served: () => served,
    readReport,
    corruptChunk: (index: number) =>
      void staged.set(index, Buffer.from("????")),
    loseChunk: (index: number) => void staged.delete(index),
    /** Starts the endpoint again, without weights. */
    restart() {
      clearTimeout(loadTimer);
      loadTimer = undefined;
      served = undefined;
      acceptedOrders = 0;
      startedAtMs += 1;
    },
  };
}
