package org.gentianslip.core.knownred;

import java.lang.reflect.Method;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Reports the failure of a test that is listed as known to fail as an aborted test, and prints a
 * line about it.
 *
 * <p>A listed test that passes is reported as failed, so that its entry is removed from the list.
 * Tests that are not listed are unaffected. Stateless except for the list, and thread-safe.
 */
public final class KnownRedExtension implements InvocationInterceptor {

  private final KnownRedList list;
  private final Consumer<String> printer;

  /** Creates an extension with the list of the checkout that contains the working directory. */
  public KnownRedExtension() {
    this(KnownRedList.above(Path.of("")), System.out::println);
  }

  KnownRedExtension(KnownRedList list, Consumer<String> printer) {
    this.list = list;
    this.printer = printer;
  }

  @Override
  public void interceptTestMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> invocationContext,
      ExtensionContext context)
      throws Throwable {
    proceed(invocation, nameOf(context));
  }

  @Override
  public void interceptTestTemplateMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> invocationContext,
      ExtensionContext context)
      throws Throwable {
    proceed(invocation, nameOf(context) + "[" + context.getDisplayName() + "]");
  }

  void proceed(Invocation<Void> invocation, String name) throws Throwable {
    if (!list.contains(name)) {
      invocation.proceed();
      return;
    }
    try {
      invocation.proceed();
    } catch (AssertionError e) {
      String message = String.valueOf(e.getMessage()).replaceAll("\\s+", " ").strip();
      printer.accept("Known red: " + name + ": " + message);
      throw new TestAbortedException("Known red: " + name, e);
    }
    throw new AssertionError(name + " passes; remove its entry from KNOWN-RED.txt");
  }

  private static String nameOf(ExtensionContext context) {
    return context.getRequiredTestClass().getName()
        + "#"
        + context.getRequiredTestMethod().getName();
  }
}
