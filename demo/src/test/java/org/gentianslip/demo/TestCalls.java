package org.gentianslip.demo;

import java.util.concurrent.atomic.AtomicLong;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.CallSpec;
import org.gentianslip.load.work.Workload;
import org.gentianslip.load.work.WorkloadShare;

/** Creates calls with unique content. Thread-safe. */
final class TestCalls {

  private static final AtomicLong COUNT = new AtomicLong();

  private TestCalls() {}

  /** Returns a streamed chat call of the customer {@code lahore-shops}. */
  static CallSpec stream(int maxTokens) {
    return spec(ActionType.CHAT_STREAM, maxTokens);
  }

  /** Returns a streamed chat call of a customer of the fleet qadri, with a marker in its prompt. */
  static CallSpec marked(String customer, String marker, int maxTokens) {
    WorkloadShare base =
        Workload.named("qadri").only(ActionType.CHAT_STREAM).shares().stream()
            .filter(share -> share.customer().value().equals(customer))
            .findFirst()
            .orElseThrow();
    String id = "marked-" + System.nanoTime() + "-" + COUNT.incrementAndGet();
    WorkloadShare share = base.withAction(ActionType.CHAT_STREAM, maxTokens);
    return new CallSpec(RequestId.of(id), share, marker + " " + id);
  }

  /** Returns a booking of the customer {@code lahore-shops}. */
  static CallSpec booking() {
    return spec(ActionType.SERVICE_WRITE, 0);
  }

  private static CallSpec spec(ActionType action, int maxTokens) {
    WorkloadShare base = Workload.named("qadri").only(action).shares().get(0);
    WorkloadShare share = base.withAction(action, maxTokens);
    String id = "test-" + System.nanoTime() + "-" + COUNT.incrementAndGet();
    return new CallSpec(RequestId.of(id), share, id);
  }
}
