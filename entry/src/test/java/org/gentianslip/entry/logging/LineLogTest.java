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

@DisplayName("The line log")
class LineLogTest {

  private static final int MANY = 20_000;

  /** Takes bytes only after it was opened. */
  private static final class StoppedReader extends OutputStream {
    private final CountDownLatch open = new CountDownLatch(1);
    private final ByteArrayOutputStream taken = new ByteArrayOutputStream();

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
      synchronized (taken) {
        taken.write(bytes, from, count);
      }
    }

    String text() {
      synchronized (taken) {
        return taken.toString(StandardCharsets.UTF_8);
      }
    }
  }

  @Test
  void writesLineWithLevelAndMessage() {
    var reader = new StoppedReader();
    reader.open.countDown();
    new LineLogHandler(reader).publish(new LogRecord(Level.INFO, "part: event=x"));
    Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> !reader.text().isEmpty());
    assertThat(reader.text(), containsString(" INFO part: event=x\n"));
  }

  @Test
  void neverWaitsForReaderAndTellsWhatWasLeftOut() {
    var reader = new StoppedReader();
    var log = new LineLogHandler(reader);
    int published = 0;
    while (published < MANY) {
      log.publish(new LogRecord(Level.INFO, "part: event=y"));
      published++;
    }
    reader.open.countDown();
    Awaitility.await()
        .atMost(Duration.ofSeconds(5))
        .until(() -> reader.text().contains("event=dropped lines="));
    long written = reader.text().lines().filter(l -> l.contains("event=y")).count();
    assertThat(written, lessThan((long) MANY));
  }
}
