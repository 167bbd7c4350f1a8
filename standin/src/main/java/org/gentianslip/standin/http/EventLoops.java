package org.gentianslip.standin.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * The event loops that all stand-ins of a process share.
 *
 * <p>They run on daemon threads, which do not keep the process alive. Safe for use by several
 * threads.
 */
public final class EventLoops {

  private static final int THREADS = 2;
  private static final EventLoopGroup SHARED =
      new NioEventLoopGroup(THREADS, new DefaultThreadFactory("standin", true));

  private EventLoops() {}

  /** Returns the shared event loops; they are never shut down. */
  public static EventLoopGroup shared() {
    return SHARED;
  }
}
