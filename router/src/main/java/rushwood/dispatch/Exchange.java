package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import rushwood.api.HostId;

/** One use of a connection to a host: a shot or a probe. */
abstract class Exchange {
  final HostId host;
  ConnectionPool.PooledConnection connection;
  long writeDeadline = Long.MAX_VALUE; // nothing of it is written any more from then on
  boolean completed;

  Exchange(HostId host) {
    this.host = host;
  }

  abstract ByteBuf encodeStatement();

  boolean isProbe() {
    return false;
  }

  /** Told once; whoever implements it releases the answer. */
  abstract void complete(BackendResponse response);
}
