package org.gentianslip.standin.command;

import java.util.concurrent.CountDownLatch;

/** Keeps a stand-in running until the process ends. Stateless. */
final class StandinRunner {

  private StandinRunner() {}

  /**
   * Prints that the stand-in is ready and blocks until the process ends.
   *
   * @param name the name of the subcommand
   * @param port the port that the stand-in listens on
   * @param standin the stand-in, which is closed when the process ends
   */
  static int runUntilExit(String name, int port, AutoCloseable standin)
      throws InterruptedException {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> closeAndPrintFailure(standin)));
    System.out.println("standin: " + name + " ready on 127.0.0.1:" + port);
    System.out.flush();
    new CountDownLatch(1).await();
    return 0;
  }

  private static void closeAndPrintFailure(AutoCloseable standin) {
    try {
      standin.close();
    } catch (Exception e) {
      System.err.println("standin: " + e.getMessage());
    }
  }
}
