/**
 * Generates the answer text of the stand-in engine. Each token depends only on
 * the prompt, the version digest and the token's index, so that a test can
 * verify any answer.
 */

import { createHash } from "node:crypto";

export interface AnswerInput {
  readonly prompt: string;
  readonly versionDigest: string;
}

/** Creates one token; `hash` is the hash of the prompt and version digest. */
export function createToken(hash: Buffer, index: number): string {
  const value = hash.readUInt32BE((index * 4) % 28) ^ (index * 2_654_435_761);
  return `${(value >>> 0).toString(36)} `;
}

export function hashAnswerInput({
  prompt,
  versionDigest,
}: AnswerInput): Buffer {
  return createHash("sha256").update(`${versionDigest}\n${prompt}`).digest();
}

export function createAnswerText(input: AnswerInput, tokens: number): string {
  const hash = hashAnswerInput(input);
  return Array.from({ length: tokens }, (_, index) =>
    createToken(hash, index),
  ).join("");
}
