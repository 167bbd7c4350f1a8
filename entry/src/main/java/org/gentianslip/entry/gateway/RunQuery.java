package org.gentianslip.entry.gateway;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.stream.RunEvidence;

/**
 * One call that asks an engine whether it runs a request. It always ends, with one result. Confined
 * to one event loop.
 */
final class RunQuery implements ReportCall.Listener {

  private final Gateway gateway;
  private final Backend backend;
  private final String requestId;
  private final Consumer<RunEvidence> onResult;

  private RunQuery(
      Gateway gateway, Backend backend, String requestId, Consumer<RunEvidence> onResult) {
    this.gateway = gateway;
    this.backend = backend;
    this.requestId = requestId;
    this.onResult = onResult;
  }

  /** Asks an engine for a run and passes on what was seen, on the event loop. */
  static void start(
      Gateway gateway,
      EventLoop loop,
      Backend backend,
      String requestId,
      Consumer<RunEvidence> onResult) {
    var query = new RunQuery(gateway, backend, requestId, onResult);
    ReportCall.start(gateway, loop, backend, ReportPurpose.RUNS, query);
  }

  @Override
  public void onAnswer(int status, byte[] body) {
    Optional<Set<String>> runs = gateway.engineReports().runs(status, body);
    if (runs.isEmpty()) {
      end(RunEvidence.NO_REPORT);
      return;
    }
    end(runs.get().contains(requestId) ? RunEvidence.LISTED : RunEvidence.NOT_LISTED);
  }

  @Override
  public void onNoAnswer(RunEvidence evidence) {
    end(evidence);
  }

  private void end(RunEvidence evidence) {
    gateway.engineContacts().recordEvidence(System.nanoTime(), backend, evidence);
    onResult.accept(evidence);
  }
}
