package org.gentianslip.entry.http;

import io.jooby.Context;
import io.jooby.StatusCode;
import io.jooby.exception.StatusCodeException;
import io.jooby.internal.netty.NettyContext;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;

/**
 * Refuses requests whose headers were not read whole.
 *
 * <p>The server hands such requests on with the headers that came before the fault and without a
 * body, and keeps the fault in a field that it does not offer. Stateless and safe for use by
 * several threads.
 */
final class DecoderCheck {

  private static final VarHandle REQUEST = requestField();

  private DecoderCheck() {}

  /**
   * Checks a request before its route.
   *
   * @throws StatusCodeException if the request was not read whole
   */
  static void check(Context ctx) {
    if (!(ctx instanceof NettyContext)) {
      throw new IllegalStateException("The context is of another server: " + ctx.getClass());
    }
    var result = ((HttpRequest) REQUEST.get(ctx)).decoderResult();
    if (result.isSuccess()) {
      return;
    }
    throw new StatusCodeException(
        result.cause() instanceof TooLongHttpHeaderException
            ? StatusCode.REQUEST_HEADER_FIELDS_TOO_LARGE
            : StatusCode.BAD_REQUEST);
  }

  private static VarHandle requestField() {
    try {
      return MethodHandles.privateLookupIn(NettyContext.class, MethodHandles.lookup())
          .findVarHandle(NettyContext.class, "req", HttpRequest.class);
    } catch (ReflectiveOperationException e) {
      throw new ExceptionInInitializerError(e);
    }
  }
}
