package org.gentianslip.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.Test;

class LookupAllocationTest {

  private static final int LOOKUPS = 100_000;

  /** Allows for allocations of the measurement itself; one object per lookup far exceeds it. */
  private static final long MAX_ALLOCATED_BYTES = LOOKUPS;

  private final CustomerId customer = CustomerId.of("lahore-shops");
  private final RegionId region = RegionId.of("pk-north");
  private final KindId kind = KindId.of("party-summary");

  @Test
  void lookupAllocatesNothing() throws IOException {
    Settings settings = Documents.accepted(Documents.example("qadri.json"));
    assertThat(lookUp(settings), is(1024L * LOOKUPS));
    var threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long bytesBefore = threads.getCurrentThreadAllocatedBytes();
    lookUp(settings);
    long bytesAfter = threads.getCurrentThreadAllocatedBytes();
    assertThat(bytesAfter - bytesBefore, is(lessThan(MAX_ALLOCATED_BYTES)));
  }

  private long lookUp(Settings settings) {
    long sum = 0;
    for (int i = 0; i < LOOKUPS; i++) {
      sum += settings.effective(customer, region, kind).get(SettingCatalog.PREFIX_TOKENS);
    }
    return sum;
  }
}
