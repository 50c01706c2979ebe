/**
 * Endpoint in memory for tests of the agent: staged chunks, which a test can
 * corrupt at any step, and orders, which load what is staged when they are
 * accepted.
 */

import { err, ok } from "neverthrow";
import type { EndpointApi, EndpointReport } from "../endpoint_api.ts";
import { createReport } from "./mod.ts";

export const MODEL = "m";
export const CHUNK_COUNT = 2;
const LOAD_MS = 20;

export interface Load {
  readonly version: number;
  /** True if each chunk was that of the version when the order was accepted. */
  readonly isSound: boolean;
}

export function createTestChunk(version: number, index: number): Buffer {
  return Buffer.from(`${version}.${index}`);
}

export function createFakeEndpoint(options: {
  readonly version: number;
  /** Called after a check has read the last chunk. */
  readonly onChecked?: () => void;
}) {
  const staged = new Map<number, Uint8Array>();
  const loads: Load[] = [];
  let version = options.version;
  let acceptedOrders = 0;
  let isBusy = false;

  function stage(stagedVersion: number) {
    Array.from({ length: CHUNK_COUNT }, (_, index) =>
      staged.set(index, createTestChunk(stagedVersion, index)),
    );
  }

  function isStaged(wanted: number): boolean {
    return Array.from({ length: CHUNK_COUNT }).every((_, index) =>
      createTestChunk(wanted, index).equals(
        staged.get(index) ?? Buffer.alloc(0),
      ),
    );
  }

  function accept(wanted: number) {
    if (isBusy) return "conflict" as const;
    if (wanted === version) return "in_effect" as const;
    loads.push({ version: wanted, isSound: isStaged(wanted) });
    acceptedOrders += 1;
    isBusy = true;
    setTimeout(() => {
      version = wanted;
      isBusy = false;
    }, LOAD_MS);
    return "begun" as const;
  }

  function readReport(): EndpointReport {
    return createReport({
      models: [{ name: MODEL, version }],
      acceptedOrders,
      isBusy,
    });
  }

  const endpoint: EndpointApi = {
    readReport: () => Promise.resolve(ok(readReport())),
    startVersion(served, { mayBeSent }) {
      if (!mayBeSent()) return Promise.resolve(err("not_sent" as const));
      return Promise.resolve(ok(accept(served.version)));
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
  stage(version);
  return {
    endpoint,
    loads,
    version: () => version,
    readReport,
    isStaged,
    corruptChunk: (index: number) =>
      void staged.set(index, Buffer.from("????")),
  };
}
