package org.gentianslip.ctl;

import java.io.PrintWriter;
import java.io.StringWriter;

/**
 * The result of running the command line.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param exitCode the exit code
 * @param out the standard output
 * @param err the error output
 */
record CommandRun(int exitCode, String out, String err) {

  /** Runs the command line with the given arguments. */
  static CommandRun of(String... args) {
    var out = new StringWriter();
    var err = new StringWriter();
    int exitCode =
        CtlMain.commandLine()
            .setOut(new PrintWriter(out))
            .setErr(new PrintWriter(err))
            .execute(args);
    return new CommandRun(exitCode, out.toString(), err.toString());
  }
}
