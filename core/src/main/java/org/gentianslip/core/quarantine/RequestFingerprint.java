package org.gentianslip.core.quarantine;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;

/** Identifies requests that ask for the same work, whoever sends them. Stateless. */
public final class RequestFingerprint {

  private static final String PREFIX = "request:";

  private RequestFingerprint() {}

  /**
   * Returns a text that is the same for requests that are alike, and starts unlike any part of a
   * prompt.
   *
   * @param host the host name
   * @param method the method
   * @param target the path and the query
   * @param body the body
   */
  public static String of(String host, String method, String target, byte[] body) {
    HashStream128 stream = Hashing.murmur3_128().hashStream();
    stream.putString(host).putString(method).putString(target);
    HashValue128 hash = stream.putByteArray(body).get();
    return PREFIX
        + String.format(
            "%016x%016x", hash.getMostSignificantBits(), hash.getLeastSignificantBits());
  }
}
