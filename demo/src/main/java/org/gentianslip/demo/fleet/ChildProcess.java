package org.gentianslip.demo.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process that was started by a fleet.
 *
 * <p>Signals are sent only to this process, by its process id. Thread-safe.
 */
public final class ChildProcess {

  private static final long SIGNAL_TIMEOUT_SECONDS = 5;
  private static final long BYTES_PER_KILOBYTE = 1024;
  private static final int LOG_TAIL_CHARACTERS = 2_000;

  private final String name;
  private final Process process;
  private final Path log;

  private ChildProcess(String name, Process process, Path log) {
    this.name = name;
    this.process = process;
    this.log = log;
  }

  /**
   * Starts a process whose output goes to a file.
   *
   * @throws IOException if it cannot be started
   */
  static ChildProcess start(String name, List<String> command, Path log) throws IOException {
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    process.getOutputStream().close();
    return new ChildProcess(name, process, log);
  }

  /** Returns the name of the process in the fleet. */
  public String name() {
    return name;
  }

  /** Returns whether the process has not ended yet. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the processor time that the process has used. */
  public Duration processorTime() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /**
   * Returns the resident memory of the process, in bytes.
   *
   * @throws IOException if the operating system does not report it
   */
  public long residentBytes() throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    for (String line : Files.readAllLines(status, StandardCharsets.UTF_8)) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) * BYTES_PER_KILOBYTE;
      }
    }
    throw new IOException(status + " has no line VmRSS with the resident memory");
  }

  /** Suspends the process until {@link #resume} is called. */
  public void suspend() {
    signal("STOP");
  }

  /** Resumes a suspended process. */
  public void resume() {
    signal("CONT");
  }

  /** Requests the process to terminate. */
  public void terminate() {
    process.destroy();
  }

  /** Kills the process and waits for its end. */
  public void kill() {
    process.destroyForcibly();
    awaitEnd(SIGNAL_TIMEOUT_SECONDS);
  }

  /**
   * Waits for the process to end.
   *
   * @return whether the process ended in time
   */
  public boolean awaitEnd(long seconds) {
    try {
      return process.waitFor(seconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns the exit code of a process that has ended. */
  public int exitCode() {
    return process.exitValue();
  }

  /** Returns the output of the process so far. */
  public String output() {
    try {
      return Files.readString(log, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the last part of the output of the process. */
  String outputTail() {
    String text = output();
    return text.substring(Math.max(0, text.length() - LOG_TAIL_CHARACTERS));
  }

  private void signal(String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
          .start()
          .waitFor(SIGNAL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
