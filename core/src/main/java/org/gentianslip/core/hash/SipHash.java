package org.gentianslip.core.hash;

/**
 * The keyed hash function SipHash-2-4.
 *
 * <p>Without the seed, nobody can predict hashes or find inputs with the same hash. Immutable and
 * thread-safe.
 */
public final class SipHash {

  private static final int WORD_BYTES = 8;
  private static final int BYTE_MASK = 0xff;

  private final long seed0;
  private final long seed1;

  /** Creates a function with a secret seed. */
  public SipHash(long seed0, long seed1) {
    this.seed0 = seed0;
    this.seed1 = seed1;
  }

  /** Returns the hash of bytes. */
  public long hash(byte[] bytes) {
    long[] v = {
      seed0 ^ 0x736f6d6570736575L,
      seed1 ^ 0x646f72616e646f6dL,
      seed0 ^ 0x6c7967656e657261L,
      seed1 ^ 0x7465646279746573L
    };
    int wholeBytes = bytes.length - bytes.length % WORD_BYTES;
    for (int i = 0; i < wholeBytes; i += WORD_BYTES) {
      absorb(v, word(bytes, i, WORD_BYTES));
    }
    long last = word(bytes, wholeBytes, bytes.length - wholeBytes);
    absorb(v, last | (long) bytes.length << 56);
    v[2] ^= BYTE_MASK;
    for (int i = 0; i < 4; i++) {
      round(v);
    }
    return v[0] ^ v[1] ^ v[2] ^ v[3];
  }

  private static long word(byte[] bytes, int start, int count) {
    long word = 0;
    for (int i = 0; i < count; i++) {
      word |= (bytes[start + i] & (long) BYTE_MASK) << (8 * i);
    }
    return word;
  }

  private static void absorb(long[] v, long word) {
    v[3] ^= word;
    round(v);
    round(v);
    v[0] ^= word;
  }

  private static void round(long[] v) {
    v[0] += v[1];
    v[2] += v[3];
    v[1] = Long.rotateLeft(v[1], 13) ^ v[0];
    v[3] = Long.rotateLeft(v[3], 16) ^ v[2];
    v[0] = Long.rotateLeft(v[0], 32);
    v[2] += v[1];
    v[0] += v[3];
    v[1] = Long.rotateLeft(v[1], 17) ^ v[2];
    v[3] = Long.rotateLeft(v[3], 21) ^ v[0];
    v[2] = Long.rotateLeft(v[2], 32);
  }
}
