package org.gentianslip.load.call;

import okhttp3.Request;
import org.gentianslip.load.work.CallSpec;

/**
 * Builds the requests to entry instances, with the headers that every call carries. Stateless and
 * thread-safe.
 */
final class EntryRequests {

  private EntryRequests() {}

  static Request.Builder to(String address, String path, CallSpec spec) {
    return new Request.Builder()
        .url("http://" + address + path)
        .header("Authorization", "Bearer " + spec.share().key())
        .header("X-Kind", spec.share().kind().value())
        .header("X-Request-Id", spec.id().value());
  }
}
