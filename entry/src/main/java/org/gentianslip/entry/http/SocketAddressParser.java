package org.gentianslip.entry.http;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * Parses addresses of the form {@code IP:PORT}, without looking names up.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class SocketAddressParser {

  private static final int MIN_PORT = 1;
  private static final int MAX_PORT = 65_535;

  private SocketAddressParser() {}

  /**
   * Returns the address that a text denotes.
   *
   * @param text an IP address, a colon and a port
   * @throws IllegalArgumentException if the text is no such address
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    InetAddress host =
        colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
    if (host == null) {
      throw new IllegalArgumentException("must be IP:PORT, but is " + text);
    }
    int port = parsePort(text, text.substring(colon + 1));
    return new InetSocketAddress(host, port);
  }

  private static int parsePort(String text, String digits) {
    try {
      int port = Integer.parseInt(digits);
      if (port >= MIN_PORT && port <= MAX_PORT) {
        return port;
      }
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("must have a port, but is " + text, e);
    }
    throw new IllegalArgumentException(
        "must have a port from " + MIN_PORT + " to " + MAX_PORT + ", but is " + text);
  }
}
