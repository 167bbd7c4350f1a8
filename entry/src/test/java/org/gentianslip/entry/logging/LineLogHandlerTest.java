package org.gentianslip.entry.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.lessThan;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The log handler")
class LineLogHandlerTest {

  private static final int RECORD_COUNT = 20_000;

  /** An output that blocks until it is opened. */
  private static final class BlockingOutput extends OutputStream {
    private final CountDownLatch open = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Override
    public void write(int b) throws IOException {
      write(new byte[] {(byte) b}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int from, int count) throws IOException {
      try {
        open.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
      synchronized (written) {
        written.write(bytes, from, count);
      }
    }

    String text() {
      synchronized (written) {
        return written.toString(StandardCharsets.UTF_8);
      }
    }
  }

  @Test
  void writesLinesWithLevelAndMessage() {
    var output = new BlockingOutput();
    output.open.countDown();
    new LineLogHandler(output).publish(new LogRecord(Level.INFO, "part: event=x"));
    Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> !output.text().isEmpty());
    assertThat(output.text(), containsString(" INFO part: event=x\n"));
  }

  @Test
  void dropsAndCountsLinesInsteadOfBlocking() {
    var output = new BlockingOutput();
    var log = new LineLogHandler(output);
    int published = 0;
    while (published < RECORD_COUNT) {
      log.publish(new LogRecord(Level.INFO, "part: event=y"));
      published++;
    }
    output.open.countDown();
    Awaitility.await()
        .atMost(Duration.ofSeconds(5))
        .until(() -> output.text().contains("event=dropped lines="));
    long written = output.text().lines().filter(l -> l.contains("event=y")).count();
    assertThat(written, lessThan((long) RECORD_COUNT));
  }
}
