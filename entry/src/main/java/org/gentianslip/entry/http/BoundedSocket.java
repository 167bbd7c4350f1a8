package org.gentianslip.entry.http;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A socket that fails when it has received too many bytes since the last progress.
 *
 * <p>Progress is a write, or a call of {@link #markProgress()}. After a write that failed, the end
 * of the input is a failure: the operating system reports a reset once, here to the write, and to
 * later reads an end. Safe for use by several threads.
 */
final class BoundedSocket extends Socket {

  private final long maxBytes;
  private final AtomicLong receivedBytes = new AtomicLong();
  private volatile boolean writeFailed;

  BoundedSocket(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Starts counting the received bytes anew. */
  void markProgress() {
    receivedBytes.set(0);
  }

  private void count(long bytes) throws IOException {
    if (bytes < 0 && writeFailed) {
      throw new IOException("The input ended after a write had failed");
    }
    if (bytes > 0 && receivedBytes.addAndGet(bytes) > maxBytes) {
      throw new IOException("More than " + maxBytes + " bytes were received that are no body");
    }
  }

  @Override
  public InputStream getInputStream() throws IOException {
    return new CountedInput(super.getInputStream());
  }

  @Override
  public OutputStream getOutputStream() throws IOException {
    return new ProgressOutput(super.getOutputStream());
  }

  private final class CountedInput extends FilterInputStream {

    CountedInput(InputStream in) {
      super(in);
    }

    @Override
    public int read() throws IOException {
      int next = super.read();
      count(next < 0 ? -1 : 1);
      return next;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      int number = super.read(bytes, offset, length);
      count(number);
      return number;
    }
  }

  private final class ProgressOutput extends FilterOutputStream {

    ProgressOutput(OutputStream out) {
      super(out);
    }

    @Override
    public void write(int next) throws IOException {
      markProgress();
      try {
        out.write(next);
      } catch (IOException e) {
        writeFailed = true;
        throw e;
      }
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      markProgress();
      try {
        out.write(bytes, offset, length);
      } catch (IOException e) {
        writeFailed = true;
        throw e;
      }
    }
  }
}
