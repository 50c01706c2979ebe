/** Bit sets over chunk indices, lowest bit of the first byte first. */

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
  return bitmap.reduce((sum, byte) => sum + countByte(byte), 0);
}

function countByte(byte: number): number {
  let count = 0;
  for (let rest = byte; rest !== 0; rest &= rest - 1) count += 1;
  return count;
}
