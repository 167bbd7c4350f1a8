package org.gentianslip.entry.http;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Adds a {@link RequestGuard} to each connection that a server of this process accepts.
 *
 * <p>Netty loads it as a service. Safe for use by several threads.
 */
public final class GuardInstaller extends ChannelInitializerExtension {

  private static final String SERVER_HANDLER = "handler";
  private static final Map<Integer, PortChecks> CHECKS_BY_PORT = new ConcurrentHashMap<>();

  /**
   * The checks on the connections of a port.
   *
   * @param check decides about a request by its head
   * @param maxBodyBytes the maximum size of a body, in bytes
   */
  private record PortChecks(HeadCheck check, long maxBodyBytes) {}

  /** Creates the installer; called by Netty. */
  public GuardInstaller() {}

  /** Registers the checks on the connections of a port; must be called before the server starts. */
  static void register(int port, HeadCheck check, long maxBodyBytes) {
    System.setProperty(EXTENSIONS_SYSTEM_PROPERTY, "serviceload");
    CHECKS_BY_PORT.put(port, new PortChecks(check, maxBodyBytes));
  }

  /** Removes the checks of a port. */
  static void unregister(int port) {
    CHECKS_BY_PORT.remove(port);
  }

  @Override
  public void postInitializeServerChildChannel(Channel channel) {
    if (!(channel.localAddress() instanceof InetSocketAddress local)) {
      return;
    }
    PortChecks checks = CHECKS_BY_PORT.get(local.getPort());
    if (checks != null) {
      channel.pipeline().addLast(new GuardInserter(checks));
    }
  }

  /** Inserts the guard after the server has set up the connection. Used once. */
  private static final class GuardInserter extends ChannelInitializer<Channel> {

    private final PortChecks checks;

    private GuardInserter(PortChecks checks) {
      this.checks = checks;
    }

    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addBefore(
              SERVER_HANDLER,
              "request-guard",
              new RequestGuard(checks.check(), checks.maxBodyBytes()));
    }
  }
}
