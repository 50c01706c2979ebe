/**
 * Bundles each program that runs on the users' platform into one file. Loading
 * hundreds of small modules takes most of the time until a restarted process can
 * serve.
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
  // Reduces the code that each start reads and parses by a quarter. Identifiers
  // are not minified, so that stack traces keep their names.
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: "none",
});
