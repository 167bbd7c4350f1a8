package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.OptionalLong;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.stream.RunEvidence;

/**
 * One call that asks an engine when it started, as the list may still show an earlier start.
 * Confined to one event loop.
 */
final class StartQuery implements ReportCall.Listener {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final Gateway gateway;
  private final Backend backend;

  private StartQuery(Gateway gateway, Backend backend) {
    this.gateway = gateway;
    this.backend = backend;
  }

  /** Asks an engine, on the event loop. */
  static void start(Gateway gateway, EventLoop loop, Backend backend) {
    var query = new StartQuery(gateway, backend);
    ReportCall.start(gateway, loop, backend, ReportPurpose.START, query);
  }

  @Override
  public void onAnswer(int status, byte[] body) {
    OptionalLong started = gateway.engineReports().startedMillis(status, body);
    log(started.isPresent() ? Long.toString(started.getAsLong()) : "unstated");
    if (started.isPresent()) {
      gateway.state().recordStart(System.nanoTime(), backend, started.getAsLong());
    }
  }

  @Override
  public void onNoAnswer(RunEvidence evidence) {
    log(evidence.name());
    if (evidence == RunEvidence.UNREACHABLE || evidence == RunEvidence.OTHER_SERVER) {
      gateway.state().recordUnanswered(System.nanoTime(), backend);
    }
  }

  private void log(String answer) {
    LOGGER.atInfo().log(
        "gateway: event=start-asked backend=%s started=%s answer=%s",
        backend.id(), backend.startedMillis(), answer);
  }
}
