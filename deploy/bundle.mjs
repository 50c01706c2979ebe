/**
 * Bundles each program of the users' platform into one file: loading hundreds
 * of small modules takes most of the time in which a restarted process cannot
 * serve yet.
 */

import { build } from "esbuild";

await build({
  entryPoints: ["bin/gateway.ts", "bin/sidecar.ts"],
  outdir: "target",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  outExtension: { ".js": ".mjs" },
  // CommonJS dependencies call `require` for Node.js modules.
  banner: {
    js: 'import { createRequire as createModuleRequire } from "node:module"; const require = createModuleRequire(import.meta.url);',
  },
  // An optional native module of bunyan that is not installed.
  external: ["dtrace-provider", "cbor-extract", "mv", "source-map-support"],
  // A quarter less to read and parse at each start; names stay in stack traces.
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: "none",
});
