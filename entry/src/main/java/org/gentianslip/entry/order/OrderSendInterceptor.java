package org.gentianslip.entry.order;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Checks whether an order may still be written, after the connection is established and before the
 * write.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class OrderSendInterceptor implements Interceptor {

  @Override
  public Response intercept(Chain chain) throws IOException {
    var mayWrite = chain.request().tag(BooleanSupplier.class);
    if (mayWrite != null && !mayWrite.getAsBoolean()) {
      throw new IOException("The order may no longer be written");
    }
    return chain.proceed(chain.request());
  }
}
