package org.gentianslip.entry.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log records to standard output, one line each.
 *
 * <p>A separate thread writes the lines. If its queue is full, a record is dropped and counted, so
 * that no logging thread waits for the reader of standard output. Safe for use by several threads.
 */
public final class LineLogHandler extends Handler {

  /** The maximum number of queued lines, which is several seconds of a busy instance's log. */
  private static final int QUEUE_CAPACITY = 4_096;

  private static final int MAX_BATCH = 256;
  private static final long MAX_WAIT_MILLIS = 300;

  private static LineLogHandler installed;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream out;

  LineLogHandler(OutputStream out) {
    this.out = out;
    var writer = new Thread(this::writeLines, "log");
    writer.setDaemon(true);
    writer.start();
  }

  /** Replaces all handlers of the root logger by a new handler of this type. */
  public static void install() {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.setLevel(Level.INFO);
    installed = new LineLogHandler(new FileOutputStream(FileDescriptor.out));
    root.addHandler(installed);
  }

  /** Waits until all queued lines are written, but at most {@value #MAX_WAIT_MILLIS} ms. */
  public static void awaitWritten() throws InterruptedException {
    long endNanos = System.nanoTime() + MAX_WAIT_MILLIS * 1_000_000;
    while (installed != null && !installed.lines.isEmpty() && System.nanoTime() - endNanos < 0) {
      Thread.sleep(5);
    }
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record)) {
      return;
    }
    if (!lines.offer(format(record))) {
      dropped.incrementAndGet();
    }
  }

  private static String format(LogRecord record) {
    var line = new StringBuilder(160);
    line.append(record.getInstant()).append(' ').append(record.getLevel()).append(' ');
    line.append(record.getMessage());
    if (record.getThrown() != null) {
      var trace = new StringWriter();
      record.getThrown().printStackTrace(new PrintWriter(trace));
      line.append(" trace=").append(trace.toString().replace("\n", " | "));
    }
    return line.append('\n').toString();
  }

  private void writeLines() {
    List<String> batch = new ArrayList<>();
    try {
      while (true) {
        batch.add(lines.take());
        lines.drainTo(batch, MAX_BATCH);
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
          batch.add("log: event=dropped lines=" + droppedLines + "\n");
        }
        out.write(String.join("", batch).getBytes(StandardCharsets.UTF_8));
        batch.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // Standard output is closed, so the failure cannot be reported anywhere.
      dropped.incrementAndGet();
    }
  }

  @Override
  public void flush() {}

  @Override
  public void close() {}
}
