/**
 * The text that an engine stand-in generates: a function of the prompt, the
 * version digest and the token's index, so that any answer can be checked.
 */

import { createHash } from "node:crypto";

export interface AnswerKey {
  readonly prompt: string;
  readonly versionDigest: string;
}

/** One token; `hash` comes from `hashAnswerKey`. */
export function createToken(hash: Buffer, index: number): string {
  const value = hash.readUInt32BE((index * 4) % 28) ^ (index * 2_654_435_761);
  return `${(value >>> 0).toString(36)} `;
}

export function hashAnswerKey({ prompt, versionDigest }: AnswerKey): Buffer {
  return createHash("sha256").update(`${versionDigest}\n${prompt}`).digest();
}

export function createAnswerText(key: AnswerKey, tokens: number): string {
  const hash = hashAnswerKey(key);
  return Array.from({ length: tokens }, (_, index) =>
    createToken(hash, index),
  ).join("");
}
