/**
 * Bundles each program that runs on the users' platform into one file. Loading
 * hundreds of small modules takes most of the time until a restarted process can
 * serve.
 */

import { join } from "node:path";
import { build } from "esbuild";

/**
 * Optional modules of cbor-x and bunyan: a native decoder that hardly helps
 * messages of some hundred bytes, a tracer, and the rotation of log files,
 * which loads a dozen modules at each start.
 */
const withoutOptionalModules = {
  name: "without-optional-modules",
  setup({ onResolve, onLoad }) {
    onResolve(
      { filter: /^(cbor-extract|dtrace-provider|mv)$/ },
      ({ path }) => ({
        path,
        namespace: "empty",
      }),
    );
    onLoad({ filter: /./, namespace: "empty" }, () => ({
      contents: "module.exports = undefined;",
    }));
  },
};

/**
 * The main module of undici also loads fetch, caches, mocks and other protocols,
 * which takes a third of the time of a start. The programs use HTTP/1.1 only.
 */
const undiciSubset = {
  name: "undici-subset",
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^undici$/ }, () => ({
      path: join(import.meta.dirname, "undici_subset.mjs"),
    }));
    onLoad({ filter: /dispatcher\/client-h2\.js$/ }, () => ({
      contents: 'module.exports = () => { throw new Error("no HTTP/2") };',
    }));
  },
};

await build({
  entryPoints: ["bin/gateway.ts", "bin/sidecar.ts"],
  outdir: "target",
  bundle: true,
  platform: "node",
  target: "node20",
  // Loads faster than ES modules.
  format: "cjs",
  outExtension: { ".js": ".cjs" },
  define: { "import.meta.url": "bundleUrl" },
  banner: {
    js: 'const bundleUrl = require("node:url").pathToFileURL(__filename).href;',
  },
  plugins: [undiciSubset, withoutOptionalModules],
  external: ["source-map-support"],
  // Reduces the code that each start reads and parses by a quarter. Identifiers
  // are not minified, so that stack traces keep their names.
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: "none",
});
