package org.gentianslip.entry.http;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Puts a {@link RequestGuard} into each connection that a server of this process accepts.
 *
 * <p>The network library finds it as a service. Safe for use by several threads.
 */
public final class GuardInstaller extends ChannelInitializerExtension {

  private static final String SERVER_HANDLER = "handler";
  private static final Map<Integer, Guarded> PORTS = new ConcurrentHashMap<>();

  /**
   * Tells how the connections of a port are guarded.
   *
   * @param check decides by the head of a request
   * @param maxBodyBytes the greatest size of a body, in bytes
   */
  private record Guarded(HeadCheck check, long maxBodyBytes) {}

  /** Creates the installer; called by the network library. */
  public GuardInstaller() {}

  /** Guards the connections of a port; to be called before the server starts. */
  static void guard(int port, HeadCheck check, long maxBodyBytes) {
    System.setProperty(EXTENSIONS_SYSTEM_PROPERTY, "serviceload");
    PORTS.put(port, new Guarded(check, maxBodyBytes));
  }

  /** Ends the guarding of a port. */
  static void release(int port) {
    PORTS.remove(port);
  }

  @Override
  public void postInitializeServerChildChannel(Channel channel) {
    if (!(channel.localAddress() instanceof InetSocketAddress local)) {
      return;
    }
    Guarded guarded = PORTS.get(local.getPort());
    if (guarded != null) {
      channel.pipeline().addLast(new Insertion(guarded));
    }
  }

  /** Inserts the guard once the server has set up the connection. Used once. */
  private static final class Insertion extends ChannelInitializer<Channel> {

    private final Guarded guarded;

    private Insertion(Guarded guarded) {
      this.guarded = guarded;
    }

    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addBefore(
              SERVER_HANDLER,
              "request-guard",
              new RequestGuard(guarded.check(), guarded.maxBodyBytes()));
    }
  }
}
