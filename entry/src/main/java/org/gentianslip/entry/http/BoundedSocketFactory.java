package org.gentianslip.entry.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/** Creates a {@link BoundedSocket} for each connection. Safe for use by several threads. */
final class BoundedSocketFactory extends SocketFactory {

  private final long maxBytes;

  BoundedSocketFactory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  public Socket createSocket() {
    return new BoundedSocket(maxBytes);
  }

  @Override
  public Socket createSocket(String host, int port) throws IOException {
    return connect(createSocket(), new InetSocketAddress(host, port));
  }

  @Override
  public Socket createSocket(String host, int port, InetAddress localHost, int localPort)
      throws IOException {
    return connect(bind(localHost, localPort), new InetSocketAddress(host, port));
  }

  @Override
  public Socket createSocket(InetAddress host, int port) throws IOException {
    return connect(createSocket(), new InetSocketAddress(host, port));
  }

  @Override
  public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort)
      throws IOException {
    return connect(bind(localHost, localPort), new InetSocketAddress(host, port));
  }

  private Socket bind(InetAddress host, int port) throws IOException {
    Socket socket = createSocket();
    socket.bind(new InetSocketAddress(host, port));
    return socket;
  }

  private static Socket connect(Socket socket, InetSocketAddress address) throws IOException {
    socket.connect(address);
    return socket;
  }
}
