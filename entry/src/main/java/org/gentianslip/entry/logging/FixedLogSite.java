package org.gentianslip.entry.logging;

import com.google.common.flogger.LogSite;

/**
 * The site of a log statement that each request passes.
 *
 * <p>Without a given site, the logging library walks the stack at each statement, even if its rate
 * limit then suppresses the line. Each statement has a site of its own, as rate limits are counted
 * by site. Immutable and safe for use by several threads.
 */
public final class FixedLogSite extends LogSite {

  private final String className;
  private final String methodName;

  private FixedLogSite(String className, String methodName) {
    this.className = className;
    this.methodName = methodName;
  }

  /** Returns a new site in a method of a class, without a line number. */
  public static LogSite of(Class<?> type, String methodName) {
    return new FixedLogSite(type.getName(), methodName);
  }

  @Override
  public String getClassName() {
    return className;
  }

  @Override
  public String getMethodName() {
    return methodName;
  }

  @Override
  public int getLineNumber() {
    return UNKNOWN_LINE;
  }

  @Override
  public String getFileName() {
    return null;
  }
}
