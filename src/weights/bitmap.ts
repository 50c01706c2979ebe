/** Bitmaps indexed by chunk, least significant bit of each byte first. */

const BITS_OF_BYTE = Uint8Array.from({ length: 256 }, (_, byte) =>
  countByte(byte),
);

export function createBitmap(count: number): Uint8Array {
  return new Uint8Array(Math.ceil(count / 8));
}

export function hasBit(bitmap: Uint8Array, index: number): boolean {
  return ((bitmap[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
}

export function setBit(bitmap: Uint8Array, index: number): void {
  bitmap[index >> 3] = (bitmap[index >> 3] ?? 0) | (1 << (index & 7));
}

export function clearBit(bitmap: Uint8Array, index: number): void {
  bitmap[index >> 3] = (bitmap[index >> 3] ?? 0) & ~(1 << (index & 7));
}

export function countBits(bitmap: Uint8Array): number {
  let count = 0;
  for (const byte of bitmap) count += BITS_OF_BYTE[byte]!;
  return count;
}

function countByte(byte: number): number {
  return byte === 0 ? 0 : (byte & 1) + countByte(byte >> 1);
}
