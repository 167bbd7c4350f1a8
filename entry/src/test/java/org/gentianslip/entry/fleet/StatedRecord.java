package org.gentianslip.entry.fleet;

import java.nio.charset.StandardCharsets;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.entry.http.Json;

/** Reads the records that instances state of themselves. Stateless and thread-safe. */
final class StatedRecord {

  /** The fields before the capacity. */
  private static final String FIELDS = "\"i1\",7,3,\"north\",\"north-a\",\"a:1\",\"a:2\",\"a:3\"";

  private StatedRecord() {}

  /** Reads a record with the given elements from the capacity on. */
  static PeerRecord read(String rest) throws Exception {
    return parse(("[" + FIELDS + rest + "]").getBytes(StandardCharsets.UTF_8));
  }

  /** Writes a record and reads it again. */
  static PeerRecord reread(PeerRecord peer) throws Exception {
    return parse(Json.bytes(FleetMessage.Instance.of(peer)));
  }

  private static PeerRecord parse(byte[] array) throws Exception {
    return Json.parse(array, FleetMessage.Instance.class).toRecord();
  }
}
